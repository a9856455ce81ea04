//! Client-facing protocols. They parse commands into requests and encode responses as replies.
//!
//! An implementation holds the protocol state of one connection and does no I/O. It parses the
//! connection's input buffer and returns the bytes to send.

pub mod resp;
pub mod sftp;

use crate::storage_request::{CommandNumber, Response, StorageRequest};
use io_scheduler::Micros;

/// Result of [`ClientProtocol::parse_command`].
#[derive(Debug)]
pub enum ParsedCommand {
    /// The command is incomplete; no input was consumed.
    Incomplete,
    /// Send these bytes as the reply. The command submits no request.
    Reply(Vec<u8>),
    /// Submit these requests. [`ClientProtocol::encode_response`] produces the command's single
    /// reply from their responses.
    Submit(Vec<StorageRequest>),
    /// The input is invalid. Send these bytes, then close the connection.
    Close(Vec<u8>),
}

/// The encoded reply to one command.
#[derive(Debug)]
pub struct EncodedReply {
    /// Number of the command. Replies are sent in this order.
    pub command_number: CommandNumber,
    /// The bytes to send to the client.
    pub bytes: Vec<u8>,
}

/// The protocol of one client connection.
pub trait ClientProtocol {
    /// Parses the command that starts at `position` in `input`. Advances `position` past the
    /// command unless it is incomplete or invalid.
    ///
    /// Responses to the command's requests are passed to [`encode_response`](Self::encode_response)
    /// with the same `command_number`. `has_node_in_service` states whether the gateway can serve
    /// requests; commands such as `PING` report it.
    fn parse_command(
        &mut self,
        input: &[u8],
        position: &mut usize,
        command_number: CommandNumber,
        has_node_in_service: bool,
    ) -> ParsedCommand;

    /// Handles the response to one request of the command with this number. Called at most once for
    /// each submitted request, in any order. Appends the encoded reply to `out` once the command
    /// can be answered.
    ///
    /// The reply may be produced before all requests have been responded to: a listing fails as
    /// soon as one of its shards fails. Responses that arrive after the reply are ignored.
    fn encode_response(
        &mut self,
        command_number: CommandNumber,
        response: Response,
        out: &mut Vec<EncodedReply>,
    );

    /// Returns the bytes to send before closing a connection because its incomplete command exceeds
    /// the available memory. The command has not been executed.
    fn overloaded_reply(&self) -> Vec<u8>;

    /// Returns the bytes to send before closing a connection because its command was not received
    /// completely in time. The command has not been executed.
    fn timeout_reply(&self) -> Vec<u8>;

    /// Returns the idle time, in microseconds, after which a connection that has sent a command is
    /// closed.
    fn idle_timeout(&self) -> Micros;

    /// Returns whether the client has opened an object for writing and has not closed it yet.
    /// Nothing of the object has been stored at this point, so such a connection is not closed when
    /// it is idle.
    ///
    /// Handles open for reading or listing do not count: they are lost when an idle connection is
    /// closed, and the client can open them again.
    fn has_open_upload(&self) -> bool {
        false
    }
}
