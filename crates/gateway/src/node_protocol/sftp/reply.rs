//! Handles the reply to the last command of a request: sends the next command or returns the
//! result.

use super::command_writer::{CommandWriter, ServerHandle};
use super::stage::Stage;
use crate::node_protocol::ProtocolError;
use crate::sftp_packet::{Fields, PacketType, StatusCode};
use crate::storage_request::{AttemptResult, ObjectEntry, Operation, ResponseBody};
use io_scheduler::Outcome;

/// Maximum number of entries in the listing of one shard.
const MAX_LISTED_ENTRIES: usize = 20_000;

/// The state of a request after a reply.
pub(super) enum RequestProgress {
    /// The next command was sent; this stage waits for its reply.
    Continues(Stage),
    /// The request is complete.
    Completed(AttemptResult),
}

impl RequestProgress {
    /// Returns the completion of a served request.
    fn served(body: ResponseBody) -> RequestProgress {
        RequestProgress::Completed(AttemptResult {
            body: Some(body),
            ..AttemptResult::without_body(Outcome::Served)
        })
    }

    /// Returns the completion of a failed request.
    fn failed() -> RequestProgress {
        RequestProgress::Completed(AttemptResult::without_body(Outcome::Error))
    }
}

impl Stage {
    /// Handles the reply to the command of this stage. Objects may have up to `max_value_length`
    /// bytes.
    pub(super) fn handle_reply(
        self,
        packet_type: PacketType,
        mut fields: Fields<'_>,
        max_value_length: usize,
        commands: &mut CommandWriter<'_>,
    ) -> Result<RequestProgress, ProtocolError> {
        match (self, packet_type) {
            (stage, PacketType::STATUS) => {
                let code = StatusCode::from_number(fields.u32()?);
                Ok(stage.handle_status(code, commands))
            }
            (Stage::Opening { operation, body }, PacketType::HANDLE) => {
                let handle = fields.string()?.to_vec();
                let stage = Stage::continue_with_handle(handle, operation, &body, commands);
                Ok(RequestProgress::Continues(stage))
            }
            (Stage::Reading { handle, value }, PacketType::DATA) => {
                let data = fields.string()?;
                Ok(append_data(handle, value, data, max_value_length, commands))
            }
            (Stage::AwaitingAttributes, PacketType::ATTRS) => {
                let size = fields.attributes()?.unwrap_or(0);
                Ok(RequestProgress::served(ResponseBody::Size(size)))
            }
            (Stage::Listing { handle, entries }, PacketType::NAME) => {
                append_entries(handle, entries, fields, commands)
            }
            _ => Err(ProtocolError::UnexpectedPacket),
        }
    }

    /// Handles a STATUS reply, which either completes the stage or fails the request. `code` is
    /// `None` if [`StatusCode`] does not define it.
    fn handle_status(
        self,
        code: Option<StatusCode>,
        commands: &mut CommandWriter<'_>,
    ) -> RequestProgress {
        match (self, code) {
            (Stage::Opening { operation, .. }, Some(StatusCode::NoSuchFile)) => {
                no_such_file(operation)
            }
            (Stage::AwaitingAttributes, Some(StatusCode::NoSuchFile)) => {
                no_such_file(Operation::Stat)
            }
            (Stage::Reading { handle, value }, Some(StatusCode::Eof)) => {
                commands.close_ignoring_reply(&handle);
                RequestProgress::served(ResponseBody::Value(value))
            }
            (Stage::Listing { handle, entries }, Some(StatusCode::Eof)) => {
                commands.close_ignoring_reply(&handle);
                RequestProgress::served(ResponseBody::Entries(entries))
            }
            (Stage::Writing(upload), Some(StatusCode::Ok)) => {
                RequestProgress::Continues(upload.send_next(commands))
            }
            (Stage::Closing { size }, Some(StatusCode::Ok)) => {
                RequestProgress::served(ResponseBody::Size(size))
            }
            (stage, _) => stage.fail(commands),
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

/// Returns the completion of a request whose path does not exist. A volume without a directory has
/// no objects yet, so its listing is empty. A write creates its file, so this status means that the
/// write has failed.
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
        return Stage::Reading { handle, value }.fail(commands);
    }
    value.extend_from_slice(data);
    RequestProgress::Continues(Stage::read_next_chunk(handle, value, commands))
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
        return Ok(Stage::Listing { handle, entries }.fail(commands));
    }
    let stage = Stage::read_directory(handle, entries, commands);
    Ok(RequestProgress::Continues(stage))
}
