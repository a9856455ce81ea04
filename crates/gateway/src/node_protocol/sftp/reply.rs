//! Handles the reply to the last command of a request: appends the next command to the output or
//! returns the result.

use super::command_writer::{CommandWriter, ServerHandle};
use super::connection_state::ConnectionState;
use crate::node_protocol::ProtocolError;
use crate::sftp_packet::{Fields, PacketType, StatusCode};
use crate::storage_request::{AttemptResult, ObjectEntry, Operation, ResponseBody};
use io_scheduler::Outcome;

/// Maximum number of entries in the listing of one shard.
const MAX_LISTED_ENTRIES: usize = 20_000;

/// The state of a request after a reply.
pub(super) enum RequestProgress {
    /// The next command was appended to the output; this state waits for its reply.
    Continues(ConnectionState),
    /// The request is complete.
    Completed(AttemptResult),
}

impl RequestProgress {
    /// Returns `Completed` with the result of a served request.
    fn served(body: ResponseBody) -> RequestProgress {
        RequestProgress::Completed(AttemptResult {
            body: Some(body),
            ..AttemptResult::without_body(Outcome::Served)
        })
    }

    /// Returns `Completed` with the result of a failed request.
    fn failed() -> RequestProgress {
        RequestProgress::Completed(AttemptResult::without_body(Outcome::Error))
    }
}

impl ConnectionState {
    /// Handles the reply to the command of this state. Objects may have up to `max_value_length`
    /// bytes.
    pub(super) fn handle_reply(
        self,
        packet_type: PacketType,
        mut fields: Fields<'_>,
        max_value_length: usize,
        commands: &mut CommandWriter<'_>,
    ) -> Result<RequestProgress, ProtocolError> {
        match (self, packet_type) {
            (state, PacketType::STATUS) => {
                let code = StatusCode::from_number(fields.u32()?);
                Ok(state.handle_status(code, commands))
            }
            (ConnectionState::Opening { operation, body }, PacketType::HANDLE) => {
                let handle = fields.string()?.to_vec();
                let state =
                    ConnectionState::continue_with_handle(handle, operation, &body, commands);
                Ok(RequestProgress::Continues(state))
            }
            (ConnectionState::Reading { handle, value }, PacketType::DATA) => {
                let data = fields.string()?;
                Ok(append_data(handle, value, data, max_value_length, commands))
            }
            (ConnectionState::AwaitingAttributes, PacketType::ATTRS) => {
                let size = fields.attributes()?.unwrap_or(0);
                Ok(RequestProgress::served(ResponseBody::Size(size)))
            }
            (ConnectionState::Listing { handle, entries }, PacketType::NAME) => {
                append_entries(handle, entries, fields, commands)
            }
            _ => Err(ProtocolError::UnexpectedPacket),
        }
    }

    /// Handles a STATUS reply, which continues, completes or fails the request. `code` is `None` if
    /// [`StatusCode`] does not define it.
    fn handle_status(
        self,
        code: Option<StatusCode>,
        commands: &mut CommandWriter<'_>,
    ) -> RequestProgress {
        match (self, code) {
            (ConnectionState::Opening { operation, .. }, Some(StatusCode::NoSuchFile)) => {
                no_such_file(operation)
            }
            (ConnectionState::AwaitingAttributes, Some(StatusCode::NoSuchFile)) => {
                no_such_file(Operation::Stat)
            }
            (ConnectionState::Reading { handle, value }, Some(StatusCode::Eof)) => {
                commands.close_ignoring_reply(&handle);
                RequestProgress::served(ResponseBody::Value(value))
            }
            (ConnectionState::Listing { handle, entries }, Some(StatusCode::Eof)) => {
                commands.close_ignoring_reply(&handle);
                RequestProgress::served(ResponseBody::Entries(entries))
            }
            (ConnectionState::Writing(upload), Some(StatusCode::Ok)) => {
                RequestProgress::Continues(upload.append_next(commands))
            }
            (ConnectionState::Closing { size }, Some(StatusCode::Ok)) => {
                RequestProgress::served(ResponseBody::Size(size))
            }
            (state, _) => state.fail(commands),
        }
    }

    /// Fails the request and closes its handle, if it has one.
    fn fail(self, commands: &mut CommandWriter<'_>) -> RequestProgress {
        if let Some(handle) = self.into_handle() {
            commands.close_ignoring_reply(&handle);
        }
        RequestProgress::failed()
    }
}

/// Returns `Completed` with the result of a request whose path does not exist. A volume without a
/// directory has no objects yet, so its listing is empty. A write creates its file, so this status
/// means that the write has failed.
fn no_such_file(operation: Operation) -> RequestProgress {
    match operation {
        Operation::List => RequestProgress::served(ResponseBody::Entries(Vec::new())),
        Operation::Read | Operation::Stat => RequestProgress::served(ResponseBody::NotFound),
        Operation::Write => RequestProgress::failed(),
    }
}

/// Appends the bytes of a DATA reply and requests more. The request fails if the object is too
/// long. It also fails if the reply is empty, because otherwise a server that keeps sending empty
/// replies would never complete the request.
fn append_data(
    handle: ServerHandle,
    mut value: Vec<u8>,
    data: &[u8],
    max_value_length: usize,
    commands: &mut CommandWriter<'_>,
) -> RequestProgress {
    if data.is_empty() || value.len() + data.len() > max_value_length {
        return ConnectionState::Reading { handle, value }.fail(commands);
    }
    value.extend_from_slice(data);
    RequestProgress::Continues(ConnectionState::read_next_chunk(handle, value, commands))
}

/// Appends the entries of a NAME reply and requests more. The request fails if there are too many
/// entries.
fn append_entries(
    handle: ServerHandle,
    mut entries: Vec<ObjectEntry>,
    mut fields: Fields<'_>,
    commands: &mut CommandWriter<'_>,
) -> Result<RequestProgress, ProtocolError> {
    for _ in 0..fields.u32()? {
        let name = fields.string()?.to_vec();
        let _long_name = fields.string()?;
        let size = fields.attributes()?.unwrap_or(0);
        if name != b"." && name != b".." {
            entries.push(ObjectEntry { name, size });
        }
    }
    if entries.len() > MAX_LISTED_ENTRIES {
        return Ok(ConnectionState::Listing { handle, entries }.fail(commands));
    }
    let state = ConnectionState::read_directory(handle, entries, commands);
    Ok(RequestProgress::Continues(state))
}
