//! Input that is not run yet: incomplete commands, and complete ones that wait for the replies to
//! earlier commands of their client.
//!
//! A connection is read even if no command of it may be run, since its end is visible only behind
//! its input. The input buffers are therefore bounded here: commands that don't fit are rejected.

use super::client_connections::ClientConnections;
use super::connection::ClientConnection;
use crate::client_protocol::ParsedCommand;
use crate::context::Context;
use crate::memory_budget::OVERLOADED_RETRY_AFTER;
use crate::storage_request::{Response, StorageRequest};

/// Maximum bytes of complete commands that wait in the input buffer of one connection.
const MAX_WAITING_BYTES: usize = 256 << 10;
/// Maximum bytes of pending replies to rejected commands of one connection. A client that causes
/// more of them, over a thousand rejections, is disconnected after its replies.
const MAX_REJECTION_BYTES: usize = 16 << 10;

/// The input that was parsed.
#[derive(Clone, Copy, Debug)]
pub(super) struct ParsedInput {
    /// Number of bytes of the commands that were run or rejected.
    pub(super) bytes: usize,
    /// What the rest of the input is.
    pub(super) rest: UnparsedInput,
}

/// The input behind the commands that were run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum UnparsedInput {
    /// No complete command.
    Incomplete,
    /// It was not parsed, because of a limit on pending replies or because the connection is
    /// closing. It may contain complete commands.
    Unknown,
}

impl ClientConnections {
    /// Discards the parsed input, or all input of a closing connection, and keeps the rest within
    /// the limits: complete commands are rejected, a client with an incomplete one is rejected and
    /// disconnected. Returns what the rest is.
    pub(super) fn consume_input(
        &mut self,
        client: &mut ClientConnection,
        parsed: ParsedInput,
        context: &mut Context,
    ) -> UnparsedInput {
        let mut rest = parsed.rest;
        self.consume_and_count(client, parsed, context);
        if rest == UnparsedInput::Unknown && self.exceeds_waiting_limit(client, context) {
            let rejected = self.reject_waiting_commands(client, context);
            self.consume_and_count(client, rejected, context);
            rest = rejected.rest;
        }
        if rest == UnparsedInput::Incomplete && self.exceeds_partial_limit(client, context) {
            client.close_after_reply(client.protocol.overloaded_reply());
            client.socket.consume_all();
            self.count_input(client, rest);
        }
        rest
    }

    /// Discards the parsed input, or all input of a closing connection, and updates the totals of
    /// buffered bytes.
    fn consume_and_count(
        &mut self,
        client: &mut ClientConnection,
        parsed: ParsedInput,
        context: &Context,
    ) {
        client.consume_parsed(parsed.bytes, parsed.rest, context.now);
        self.count_input(client, parsed.rest);
    }

    /// Updates the totals of buffered bytes with the input buffer of a connection.
    fn count_input(&mut self, client: &mut ClientConnection, rest: UnparsedInput) {
        let buffered = client.socket.input.capacity();
        let (partial, waiting) = match rest {
            UnparsedInput::Incomplete => (buffered, 0),
            UnparsedInput::Unknown => (0, buffered),
        };
        client
            .counted_partial_command_bytes
            .set(partial, &mut self.partial_command_bytes);
        client
            .counted_waiting_command_bytes
            .set(waiting, &mut self.waiting_command_bytes);
    }

    /// Returns whether complete commands of a connection have to be rejected: it has too many, or
    /// all connections together have, and it has more than its part.
    fn exceeds_waiting_limit(&self, client: &ClientConnection, context: &Context) -> bool {
        let max_bytes = context.config.memory_budget.waiting_command_bytes();
        let buffered = client.counted_waiting_command_bytes.get();
        let all_exceed =
            self.waiting_command_bytes > max_bytes && buffered > self.part_of_client(max_bytes);
        !client.is_closing() && (buffered > MAX_WAITING_BYTES || all_exceed)
    }

    /// Returns whether a connection with an incomplete command has to be closed: the input of all
    /// connections exceeds its budget, and the connection has more than its part.
    fn exceeds_partial_limit(&self, client: &ClientConnection, context: &Context) -> bool {
        let max_bytes = context.config.memory_budget.input_bytes;
        let buffered = client.counted_partial_command_bytes.get();
        let all_bytes = self.partial_command_bytes + self.waiting_command_bytes;
        !client.is_closing()
            && !client.input_is_empty()
            && all_bytes > max_bytes
            && buffered > self.part_of_client(max_bytes)
    }

    /// Returns the bytes of a limit that each connection may use even if the limit is exceeded.
    fn part_of_client(&self, max_bytes: usize) -> usize {
        max_bytes / self.limits.clients
    }

    /// Rejects the complete commands in the input buffer of a connection, in their order. Commands
    /// that submit no request get their usual reply.
    fn reject_waiting_commands(
        &mut self,
        client: &mut ClientConnection,
        context: &mut Context,
    ) -> ParsedInput {
        let mut parsed = ParsedInput {
            bytes: 0,
            rest: UnparsedInput::Unknown,
        };
        let mut rejected = 0;
        while !client.is_closing() {
            let has_node_in_service = context.dispatcher.has_node_in_service();
            match client.parse_command(&mut parsed.bytes, has_node_in_service) {
                ParsedCommand::Incomplete => {
                    parsed.rest = UnparsedInput::Incomplete;
                    break;
                }
                ParsedCommand::Close(reply) => client.close_after_reply(reply),
                ParsedCommand::Reply(reply) => client.replies.push_rejection(reply),
                ParsedCommand::Submit(requests) => reject(client, requests, context),
            }
            rejected += 1;
            client.record_command(context.now);
            if client.replies.rejection_bytes() > MAX_REJECTION_BYTES {
                client.close_after_reply(client.protocol.overloaded_reply());
            }
        }
        log::debug!(
            "client connection {}: {rejected} commands that waited for earlier ones were rejected",
            u64::from(client.token())
        );
        self.count_replies(client);
        parsed
    }
}

/// Rejects the requests of the next command of a connection.
fn reject(client: &mut ClientConnection, requests: Vec<StorageRequest>, context: &mut Context) {
    let command_number = client.replies.next_command_number();
    let mut encoded = Vec::new();
    for request in requests {
        context.dispatcher.record_rejected(&request);
        let response = Response::Rejected {
            retry_after: OVERLOADED_RETRY_AFTER,
        };
        client
            .protocol
            .encode_response(command_number, response, &mut encoded);
    }
    let replies = encoded.into_iter().map(|reply| reply.bytes);
    client.replies.push_rejection(replies.flatten().collect());
}
