//! The stages of a request to a file server. Each begins with a command.

use super::command_writer::{CommandWriter, ServerHandle};
use crate::hex_id::HexId;
use crate::sftp_packet::OpenFlags;
use crate::storage_request::{ObjectEntry, Operation, StorageRequest};
use std::collections::VecDeque;

/// Largest number of bytes that one READ or WRITE transfers.
const CHUNK_BYTES: usize = 32 << 10;

/// The reply that a connection waits for.
pub(super) enum Stage {
    /// VERSION, which completes the handshake.
    AwaitingVersion,
    /// No reply: no request is in flight.
    Idle,
    /// The reply to OPEN or OPENDIR.
    Opening {
        /// The request's operation, which states how the handle is used.
        operation: Operation,
        /// The bytes of the object to write; empty for other operations.
        ///
        /// A copy: the request keeps its own until it is finished, and only that one is counted in
        /// [`crate::memory_budget::MemoryBudget::request_body_bytes`]. So an upload takes twice
        /// the counted memory, and three times while [`Upload::new`] splits this copy.
        body: Vec<u8>,
    },
    /// The reply to READ.
    Reading {
        /// The handle of the open file.
        handle: ServerHandle,
        /// The bytes of the object received so far.
        value: Vec<u8>,
    },
    /// The reply to WRITE.
    Writing(Upload),
    /// The reply to the CLOSE of a write.
    Closing {
        /// Bytes of the object.
        size: u64,
    },
    /// The reply to STAT.
    AwaitingAttributes,
    /// The reply to READDIR.
    Listing {
        /// The handle of the open directory.
        handle: ServerHandle,
        /// The entries received so far.
        entries: Vec<ObjectEntry>,
    },
}

/// A write of which some chunks may be left to send.
pub(super) struct Upload {
    /// The handle of the open file.
    handle: ServerHandle,
    /// The chunks that are not sent yet.
    remaining: VecDeque<Vec<u8>>,
    /// Bytes sent so far.
    offset: u64,
}

impl Upload {
    /// An upload of which nothing is sent. Copies `body`, which the caller drops afterwards.
    fn new(handle: ServerHandle, body: &[u8]) -> Upload {
        Upload {
            handle,
            remaining: body.chunks(CHUNK_BYTES).map(<[u8]>::to_vec).collect(),
            offset: 0,
        }
    }

    /// Sends WRITE for the next chunk, or CLOSE after the last one.
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
    /// Sends the first command of a request.
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

    /// Sends the first command on a handle that the server opened.
    pub(super) fn use_handle(
        handle: ServerHandle,
        operation: Operation,
        body: &[u8],
        commands: &mut CommandWriter<'_>,
    ) -> Stage {
        match operation {
            Operation::Write => Upload::new(handle, body).send_next(commands),
            Operation::List => Stage::read_directory(handle, Vec::new(), commands),
            // A STAT opens no handle, so only reads come here; see `Stage::start`.
            Operation::Read | Operation::Stat => {
                Stage::read_next_chunk(handle, Vec::new(), commands)
            }
        }
    }

    /// Sends READ for the bytes after `value`.
    pub(super) fn read_next_chunk(
        handle: ServerHandle,
        value: Vec<u8>,
        commands: &mut CommandWriter<'_>,
    ) -> Stage {
        commands.read(&handle, value.len() as u64, CHUNK_BYTES as u32);
        Stage::Reading { handle, value }
    }

    /// Sends READDIR for the names after `entries`.
    pub(super) fn read_directory(
        handle: ServerHandle,
        entries: Vec<ObjectEntry>,
        commands: &mut CommandWriter<'_>,
    ) -> Stage {
        commands.read_directory(&handle);
        Stage::Listing { handle, entries }
    }

    /// The handle that must be closed if the request ends at this stage.
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

/// The path of the directory of a request's volume.
fn volume_path(request: &StorageRequest) -> String {
    format!("/{}", HexId(request.volume.0))
}

/// The path of a request's object: its name or, if the client's protocol has no names, its id.
fn object_path(request: &StorageRequest) -> String {
    let directory = volume_path(request);
    match &request.object_name {
        Some(name) => format!("{directory}/{name}"),
        None => format!("{directory}/{}", HexId(request.object.0)),
    }
}
