//! Stages of a request to a file server. A stage begins with a command and ends with its reply.

use super::command_writer::{CommandWriter, ServerHandle};
use crate::hex_id::HexId;
use crate::sftp_packet::OpenFlags;
use crate::storage_request::{ObjectEntry, Operation, StorageRequest};
use std::collections::VecDeque;

/// Maximum number of bytes that one READ or WRITE transfers.
const CHUNK_BYTES: usize = 32 << 10;

/// The stage of a connection. Every stage except `Idle` waits for one reply.
pub(super) enum Stage {
    /// Waiting for VERSION, which completes the handshake.
    AwaitingVersion,
    /// No request is in flight.
    Idle,
    /// Waiting for the reply to OPEN or OPENDIR.
    Opening {
        /// Operation of the request, which determines how the handle is used.
        operation: Operation,
        /// Content of the object to write; empty for other operations.
        ///
        /// This is a copy: the request keeps its own body until it is finished, and
        /// [`crate::memory_budget::MemoryBudget::request_body_bytes`] counts only that one. An
        /// upload therefore takes twice the counted memory, and three times while [`Upload::new`]
        /// splits this copy.
        body: Vec<u8>,
    },
    /// Waiting for the reply to READ.
    Reading {
        /// Handle of the open file.
        handle: ServerHandle,
        /// Content of the object received so far.
        value: Vec<u8>,
    },
    /// Waiting for the reply to WRITE.
    Writing(Upload),
    /// Waiting for the reply to the CLOSE of a write.
    Closing {
        /// Size of the object in bytes.
        size: u64,
    },
    /// Waiting for the reply to STAT.
    AwaitingAttributes,
    /// Waiting for the reply to READDIR.
    Listing {
        /// Handle of the open directory.
        handle: ServerHandle,
        /// Entries received so far.
        entries: Vec<ObjectEntry>,
    },
}

/// A write in progress, with the chunks that have not been sent yet.
pub(super) struct Upload {
    /// Handle of the open file.
    handle: ServerHandle,
    /// Chunks that have not been sent yet.
    remaining: VecDeque<Vec<u8>>,
    /// Number of bytes sent so far; the offset of the next chunk.
    offset: u64,
}

impl Upload {
    /// Creates an upload of which nothing has been sent. Copies `body`, which the caller drops
    /// afterwards.
    fn new(handle: ServerHandle, body: &[u8]) -> Upload {
        Upload {
            handle,
            remaining: body.chunks(CHUNK_BYTES).map(<[u8]>::to_vec).collect(),
            offset: 0,
        }
    }

    /// Sends WRITE for the next chunk, or CLOSE after the last one, and returns the next stage.
    pub(super) fn send_next(mut self, commands: &mut CommandWriter<'_>) -> Stage {
        let Some(chunk) = self.remaining.pop_front() else {
            commands.close(&self.handle);
            return Stage::Closing { size: self.offset };
        };
        commands.write(&self.handle, self.offset, &chunk);
        self.offset += chunk.len() as u64;
        Stage::Writing(self)
    }
}

impl Stage {
    /// Sends the first command of a request and returns the stage that waits for its reply.
    pub(super) fn start(request: &StorageRequest, commands: &mut CommandWriter<'_>) -> Stage {
        match request.operation {
            Operation::Read => commands.open(&object_path(request), OpenFlags::READ),
            Operation::Write => {
                // A write replaces the whole object.
                let flags = OpenFlags::WRITE | OpenFlags::CREATE | OpenFlags::TRUNCATE;
                commands.open(&object_path(request), flags);
            }
            Operation::Stat => {
                commands.stat(&object_path(request));
                return Stage::AwaitingAttributes;
            }
            Operation::List => commands.open_directory(&volume_path(request)),
        }
        Stage::Opening {
            operation: request.operation,
            body: request.body.clone(),
        }
    }

    /// Sends the first command that uses a handle opened by the server, and returns the next stage.
    pub(super) fn continue_with_handle(
        handle: ServerHandle,
        operation: Operation,
        body: &[u8],
        commands: &mut CommandWriter<'_>,
    ) -> Stage {
        match operation {
            Operation::Write => Upload::new(handle, body).send_next(commands),
            Operation::List => Stage::read_directory(handle, Vec::new(), commands),
            // Only reads reach this arm, because a STAT opens no handle; see `Stage::start`.
            Operation::Read | Operation::Stat => {
                Stage::read_next_chunk(handle, Vec::new(), commands)
            }
        }
    }

    /// Sends READ for the bytes after `value` and returns the next stage.
    pub(super) fn read_next_chunk(
        handle: ServerHandle,
        value: Vec<u8>,
        commands: &mut CommandWriter<'_>,
    ) -> Stage {
        commands.read(&handle, value.len() as u64, CHUNK_BYTES as u32);
        Stage::Reading { handle, value }
    }

    /// Sends READDIR for the entries after `entries` and returns the next stage.
    pub(super) fn read_directory(
        handle: ServerHandle,
        entries: Vec<ObjectEntry>,
        commands: &mut CommandWriter<'_>,
    ) -> Stage {
        commands.read_directory(&handle);
        Stage::Listing { handle, entries }
    }

    /// Returns the handle that must be closed if the request ends at this stage.
    pub(super) fn into_handle(self) -> Option<ServerHandle> {
        match self {
            Stage::Reading { handle, .. }
            | Stage::Writing(Upload { handle, .. })
            | Stage::Listing { handle, .. } => Some(handle),
            Stage::AwaitingVersion
            | Stage::Idle
            | Stage::Opening { .. }
            | Stage::Closing { .. }
            | Stage::AwaitingAttributes => None,
        }
    }
}

/// Returns the path of the directory of a request's volume.
fn volume_path(request: &StorageRequest) -> String {
    format!("/{}", HexId(request.volume.0))
}

/// Returns the path of a request's object. The file name is the object's name or, if the client's
/// protocol has no names, the object's id.
fn object_path(request: &StorageRequest) -> String {
    let directory = volume_path(request);
    match &request.object_name {
        Some(name) => format!("{directory}/{name}"),
        None => format!("{directory}/{}", HexId(request.object.0)),
    }
}
