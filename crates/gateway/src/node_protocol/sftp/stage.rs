//! The stages of a request to a file server, and the action on each reply.

use super::{ProtocolError, SftpProtocol};
use crate::dispatcher::{AttemptResult, ObjectEntry, Operation, ResponseBody, StorageRequest};
use crate::sftp_packet::{packet_type, Fields, StatusCode};
use io_scheduler::Outcome;
use std::collections::VecDeque;

/// Largest number of bytes that one READ or WRITE transfers.
const CHUNK_BYTES: usize = 32 << 10;
/// Largest number of entries in the listing of one shard.
const MAX_LISTED_ENTRIES: usize = 20_000;

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
        body: Vec<u8>,
    },
    /// The reply to READ.
    Reading {
        /// The server's handle of the open file.
        handle: Vec<u8>,
        /// The bytes of the object received so far.
        value: Vec<u8>,
    },
    /// The reply to WRITE.
    Writing {
        /// The server's handle of the open file.
        handle: Vec<u8>,
        /// The chunks that are not sent yet.
        remaining: VecDeque<Vec<u8>>,
        /// Bytes sent so far.
        offset: u64,
    },
    /// The reply to the CLOSE of a write.
    Closing {
        /// Bytes of the object.
        size: u64,
    },
    /// The reply to STAT.
    AwaitingAttributes,
    /// The reply to READDIR.
    Listing {
        /// The server's handle of the open directory.
        handle: Vec<u8>,
        /// The entries received so far.
        entries: Vec<ObjectEntry>,
    },
}

impl Stage {
    /// The stage once a request's first command is sent.
    pub(super) fn after_first_command(request: &StorageRequest) -> Stage {
        match request.operation {
            Operation::Stat => Stage::AwaitingAttributes,
            operation => Stage::Opening {
                operation,
                body: request.body.clone(),
            },
        }
    }

    /// The handle that must be closed if the request ends at this stage.
    fn into_handle(self) -> Option<Vec<u8>> {
        match self {
            Stage::Reading { handle, .. }
            | Stage::Writing { handle, .. }
            | Stage::Listing { handle, .. } => Some(handle),
            _ => None,
        }
    }
}

/// The result of a request that the server has served.
fn served(body: ResponseBody) -> AttemptResult {
    AttemptResult {
        body: Some(body),
        ..AttemptResult::without_body(Outcome::Served)
    }
}

impl SftpProtocol {
    /// Handles the reply to the last command. Returns the result if it completes the request; otherwise the
    /// next command is sent.
    pub(super) fn handle_reply(
        &mut self,
        type_byte: u8,
        mut fields: Fields<'_>,
        out: &mut Vec<u8>,
    ) -> Result<Option<AttemptResult>, ProtocolError> {
        let stage = std::mem::replace(&mut self.stage, Stage::Idle);
        if type_byte == packet_type::STATUS {
            let code = fields.u32()?;
            return Ok(self.handle_status(stage, code, out));
        }
        match (stage, type_byte) {
            (Stage::Opening { operation, body }, packet_type::HANDLE) => {
                self.use_handle(fields.string()?.to_vec(), operation, &body, out);
                Ok(None)
            }
            (Stage::Reading { handle, value }, packet_type::DATA) => {
                Ok(self.append_data(handle, value, fields.string()?, out))
            }
            (Stage::AwaitingAttributes, packet_type::ATTRS) => {
                let size = fields.attributes()?.unwrap_or(0);
                Ok(Some(served(ResponseBody::Size(size))))
            }
            (Stage::Listing { handle, entries }, packet_type::NAME) => {
                self.append_entries(handle, entries, fields, out)
            }
            _ => Err(ProtocolError),
        }
    }

    /// Handles a STATUS reply: the regular end of a stage, or an error that fails the request.
    fn handle_status(
        &mut self,
        stage: Stage,
        code: u32,
        out: &mut Vec<u8>,
    ) -> Option<AttemptResult> {
        let is = |expected: StatusCode| code == expected as u32;
        match stage {
            Stage::Opening {
                operation: Operation::List,
                ..
            } if is(StatusCode::NoSuchFile) => Some(served(ResponseBody::Entries(Vec::new()))),
            Stage::Opening {
                operation: Operation::Read,
                ..
            }
            | Stage::AwaitingAttributes
                if is(StatusCode::NoSuchFile) =>
            {
                Some(served(ResponseBody::NotFound))
            }
            Stage::Reading { handle, value } if is(StatusCode::Eof) => {
                self.close_ignoring_reply(&handle, out);
                Some(served(ResponseBody::Value(value)))
            }
            Stage::Writing {
                handle,
                remaining,
                offset,
            } if is(StatusCode::Ok) => {
                self.write_next_chunk(handle, remaining, offset, out);
                None
            }
            Stage::Closing { size } if is(StatusCode::Ok) => Some(served(ResponseBody::Size(size))),
            Stage::Listing { handle, entries } if is(StatusCode::Eof) => {
                self.close_ignoring_reply(&handle, out);
                Some(served(ResponseBody::Entries(entries)))
            }
            failed_stage => {
                if let Some(handle) = failed_stage.into_handle() {
                    self.close_ignoring_reply(&handle, out);
                }
                Some(AttemptResult::without_body(Outcome::Error))
            }
        }
    }

    /// Sends the first command on a handle that the server opened.
    fn use_handle(
        &mut self,
        handle: Vec<u8>,
        operation: Operation,
        body: &[u8],
        out: &mut Vec<u8>,
    ) {
        match operation {
            Operation::Write => {
                let chunks = body.chunks(CHUNK_BYTES).map(<[u8]>::to_vec).collect();
                self.write_next_chunk(handle, chunks, 0, out);
            }
            Operation::List => self.read_directory(handle, Vec::new(), out),
            Operation::Read | Operation::Stat => self.read_next_chunk(handle, Vec::new(), out),
        }
    }

    /// Appends the bytes of a DATA reply and requests more. The request fails if the object is too long, or if the
    /// reply is empty, because a server that keeps sending empty replies would never complete it.
    fn append_data(
        &mut self,
        handle: Vec<u8>,
        mut value: Vec<u8>,
        data: &[u8],
        out: &mut Vec<u8>,
    ) -> Option<AttemptResult> {
        if data.is_empty() || value.len() + data.len() > self.max_value_length {
            self.close_ignoring_reply(&handle, out);
            return Some(AttemptResult::without_body(Outcome::Error));
        }
        value.extend_from_slice(data);
        self.read_next_chunk(handle, value, out);
        None
    }

    /// Appends the entries of a NAME reply and requests more. The request fails if there are too many.
    fn append_entries(
        &mut self,
        handle: Vec<u8>,
        mut entries: Vec<ObjectEntry>,
        mut fields: Fields<'_>,
        out: &mut Vec<u8>,
    ) -> Result<Option<AttemptResult>, ProtocolError> {
        for _ in 0..fields.u32()? {
            let name = fields.string()?.to_vec();
            let _long_name = fields.string()?;
            let size = fields.attributes()?.unwrap_or(0);
            if name != b"." && name != b".." {
                entries.push(ObjectEntry { name, size });
            }
        }
        if entries.len() > MAX_LISTED_ENTRIES {
            self.close_ignoring_reply(&handle, out);
            return Ok(Some(AttemptResult::without_body(Outcome::Error)));
        }
        self.read_directory(handle, entries, out);
        Ok(None)
    }

    /// Sends READ for the bytes after `value`.
    fn read_next_chunk(&mut self, handle: Vec<u8>, value: Vec<u8>, out: &mut Vec<u8>) {
        let offset = value.len() as u64;
        self.send_command(packet_type::READ, out, |packet| {
            packet.string(&handle).u64(offset).u32(CHUNK_BYTES as u32)
        });
        self.stage = Stage::Reading { handle, value };
    }

    /// Sends WRITE for the next chunk at `offset`, or CLOSE after the last one.
    fn write_next_chunk(
        &mut self,
        handle: Vec<u8>,
        mut remaining: VecDeque<Vec<u8>>,
        offset: u64,
        out: &mut Vec<u8>,
    ) {
        let Some(chunk) = remaining.pop_front() else {
            self.send_command(packet_type::CLOSE, out, |packet| packet.string(&handle));
            self.stage = Stage::Closing { size: offset };
            return;
        };
        self.send_command(packet_type::WRITE, out, |packet| {
            packet.string(&handle).u64(offset).string(&chunk)
        });
        self.stage = Stage::Writing {
            handle,
            remaining,
            offset: offset + chunk.len() as u64,
        };
    }

    /// Sends READDIR for the names after `entries`.
    fn read_directory(&mut self, handle: Vec<u8>, entries: Vec<ObjectEntry>, out: &mut Vec<u8>) {
        self.send_command(packet_type::READDIR, out, |packet| packet.string(&handle));
        self.stage = Stage::Listing { handle, entries };
    }

    /// Sends CLOSE for the handle of a request that is already complete. Its reply is recognized by the id and
    /// ignored.
    fn close_ignoring_reply(&mut self, handle: &[u8], out: &mut Vec<u8>) {
        self.send_command(packet_type::CLOSE, out, |packet| packet.string(handle));
        self.ignored_id = Some(self.last_id);
        self.last_id = self.last_id.wrapping_add(1);
    }
}
