//! States of a connection to a file server. While a request is in flight, each state begins with a
//! command and ends with its reply.

use super::command_writer::{CommandWriter, ServerHandle};
use crate::hex_id::HexId;
use crate::sftp_packet::OpenFlags;
use crate::storage_request::{ObjectEntry, Operation, StorageRequest};
use std::collections::VecDeque;

/// Maximum number of bytes that one READ or WRITE transfers.
const CHUNK_BYTES: usize = 32 << 10;

/// What a connection waits for. Every state except `Idle` waits for one reply.
pub(super) enum ConnectionState {
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
        /// [`crate::memory_budget::MemoryBudget::request_bytes`] counts only that one. An
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

    /// Appends WRITE for the next chunk, or CLOSE after the last one, and returns the next state.
    pub(super) fn append_next(mut self, commands: &mut CommandWriter<'_>) -> ConnectionState {
        let Some(chunk) = self.remaining.pop_front() else {
            commands.close(&self.handle);
            return ConnectionState::Closing { size: self.offset };
        };
        commands.write(&self.handle, self.offset, &chunk);
        self.offset += chunk.len() as u64;
        ConnectionState::Writing(self)
    }
}

impl ConnectionState {
    /// Appends the first command of a request and returns the state that waits for its reply.
    pub(super) fn start(
        request: &StorageRequest,
        commands: &mut CommandWriter<'_>,
    ) -> ConnectionState {
        match request.operation {
            Operation::Read => commands.open(&object_path(request), OpenFlags::READ),
            Operation::Write => {
                // A write replaces the whole object.
                let flags = OpenFlags::WRITE | OpenFlags::CREATE | OpenFlags::TRUNCATE;
                commands.open(&object_path(request), flags);
            }
            Operation::Stat => {
                commands.stat(&object_path(request));
                return ConnectionState::AwaitingAttributes;
            }
            Operation::List => commands.open_directory(&volume_path(request)),
        }
        ConnectionState::Opening {
            operation: request.operation,
            body: request.body.clone(),
        }
    }

    /// Appends the first command that uses a handle opened by the server, and returns the next
    /// state.
    pub(super) fn continue_with_handle(
        handle: ServerHandle,
        operation: Operation,
        body: &[u8],
        commands: &mut CommandWriter<'_>,
    ) -> ConnectionState {
        match operation {
            Operation::Write => Upload::new(handle, body).append_next(commands),
            Operation::List => ConnectionState::read_directory(handle, Vec::new(), commands),
            // Only reads reach this arm, because a STAT opens no handle; see
            // `ConnectionState::start`.
            Operation::Read | Operation::Stat => {
                ConnectionState::read_next_chunk(handle, Vec::new(), commands)
            }
        }
    }

    /// Appends READ for the bytes after `value` and returns the next state.
    pub(super) fn read_next_chunk(
        handle: ServerHandle,
        value: Vec<u8>,
        commands: &mut CommandWriter<'_>,
    ) -> ConnectionState {
        commands.read(&handle, value.len() as u64, CHUNK_BYTES as u32);
        ConnectionState::Reading { handle, value }
    }

    /// Appends READDIR for the entries after `entries` and returns the next state.
    pub(super) fn read_directory(
        handle: ServerHandle,
        entries: Vec<ObjectEntry>,
        commands: &mut CommandWriter<'_>,
    ) -> ConnectionState {
        commands.read_directory(&handle);
        ConnectionState::Listing { handle, entries }
    }

    /// Returns the handle that must be closed if the request ends in this state.
    pub(super) fn into_handle(self) -> Option<ServerHandle> {
        match self {
            ConnectionState::Reading { handle, .. }
            | ConnectionState::Writing(Upload { handle, .. })
            | ConnectionState::Listing { handle, .. } => Some(handle),
            ConnectionState::AwaitingVersion
            | ConnectionState::Idle
            | ConnectionState::Opening { .. }
            | ConnectionState::Closing { .. }
            | ConnectionState::AwaitingAttributes => None,
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
