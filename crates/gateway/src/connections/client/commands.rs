//! Parsing the commands of a client, submitting their requests and writing the replies.

use super::client_connections::ClientConnections;
use super::connection::{ClientConnection, MAX_REPLY_BYTES, MAX_UNSENT_BYTES};
use super::eviction_queue::EvictionRank;
use super::waiting_commands::{ParsedInput, UnparsedInput};
use crate::client_protocol::ParsedCommand;
use crate::context::Context;
use crate::storage_request::{ReplySlot, StorageRequest};
use io_scheduler::Micros;
use std::io;

/// A client with many unsent replies is disconnected once the unsent replies of all clients exceed
/// this multiple of their budget.
const MAX_BACKLOG_FACTOR: usize = 2;

impl ClientConnections {
    /// Runs the commands that have arrived on a connection and writes the replies that are ready.
    /// Then stores the connection, starts or continues its lingering close, or drops it.
    pub(super) fn run_commands_and_flush(
        &mut self,
        mut client: ClientConnection,
        context: &mut Context,
    ) {
        loop {
            let parsed = self.run_commands(&mut client, context);
            let rest = self.consume_input(&mut client, parsed, context);
            let flushed = self.flush(&mut client, context.now);
            if flushed.is_err() || self.has_excessive_backlog(&client, context) {
                return self.drop_connection(client, context);
            }
            // The replies just written may have been the reason why commands were not parsed, and
            // no event may follow that would parse them.
            let is_resumable = rest == UnparsedInput::Unknown && !client.input_is_empty();
            if !is_resumable || !self.may_run_command(&client, context) {
                break;
            }
        }
        self.wait_for_events_or_close(client, context);
    }

    /// Stores a connection whose commands have been run, or starts its lingering close if it is due
    /// to be closed and all replies are written.
    fn wait_for_events_or_close(&mut self, mut client: ClientConnection, context: &mut Context) {
        let is_closable_for_shutdown =
            context.shutdown.is_closing_clients() && !client.has_partial_command_or_open_upload();
        let may_close = client.is_closing() || is_closable_for_shutdown;
        if may_close && client.is_fully_replied() {
            return self.linger(client, context);
        }
        let interest = client.interest();
        let registered = client.socket.set_interest(interest, &context.poller);
        if registered.is_err() {
            return self.drop_connection(client, context);
        }
        self.store(client, &mut context.timers);
    }

    /// Returns whether the limits allow another command of a connection to be run.
    ///
    /// The reply to a command behind another one may have to wait for the earlier reply. Such a
    /// command is run only if the largest reply fits into the budget for unsent replies. The
    /// first pending command of a connection is always run.
    fn may_run_command(&self, client: &ClientConnection, context: &Context) -> bool {
        let held_bytes = self.unsent_bytes + self.reserved_reply_bytes;
        let budget = context.config.memory_budget.unsent_reply_bytes;
        let is_within_budget = held_bytes + MAX_REPLY_BYTES <= budget;
        client.may_parse_command() && (is_within_budget || client.replies.is_empty())
    }

    /// Parses and runs commands until no complete one is left or a limit on pending replies is
    /// reached.
    fn run_commands(
        &mut self,
        client: &mut ClientConnection,
        context: &mut Context,
    ) -> ParsedInput {
        let mut position = 0;
        let mut rest = UnparsedInput::Unknown;
        while self.may_run_command(client, context) {
            let has_node_in_service = context.dispatcher.has_node_in_service();
            match client.parse_command(&mut position, has_node_in_service) {
                ParsedCommand::Incomplete => {
                    rest = UnparsedInput::Incomplete;
                    break;
                }
                ParsedCommand::Close(reply) => {
                    client.close_after_reply(reply);
                    break;
                }
                ParsedCommand::Reply(reply) => client.replies.push_encoded(reply),
                ParsedCommand::Submit(requests) => self.submit(client, requests, context),
            }
            client.record_command(context.now);
            self.count_replies(client);
        }
        ParsedInput {
            bytes: position,
            rest,
        }
    }

    /// Submits the requests of the next command to the dispatcher. The reply to the command stays
    /// pending until the responses to them arrive.
    fn submit(
        &mut self,
        client: &mut ClientConnection,
        requests: Vec<StorageRequest>,
        context: &mut Context,
    ) {
        if client.eviction_rank < EvictionRank::SentRequest {
            client.eviction_rank = EvictionRank::SentRequest;
            self.requesting_clients += 1;
        }
        let reply_slot = ReplySlot {
            connection: client.token(),
            command_number: client.replies.next_command_number(),
        };
        let ids = requests
            .into_iter()
            .map(|request| context.submit(request, reply_slot))
            .collect();
        client.replies.push_awaiting(ids);
    }

    /// Writes as much of the pending replies as the socket accepts, and updates the total of unsent
    /// bytes.
    fn flush(&mut self, client: &mut ClientConnection, now: Micros) -> io::Result<()> {
        let unsent_before = client.socket.unsent_bytes();
        let result = client.socket.flush();
        if client.socket.unsent_bytes() < unsent_before {
            client.last_active_at = now;
        }
        self.count_replies(client);
        result
    }

    /// Updates the totals of unsent and of reserved bytes of replies.
    pub(super) fn count_replies(&mut self, client: &mut ClientConnection) {
        let unsent_bytes = client.unsent_bytes();
        client
            .counted_unsent_bytes
            .set(unsent_bytes, &mut self.unsent_bytes);
        let reserved_bytes = client.reserved_reply_bytes();
        client
            .counted_reserved_reply_bytes
            .set(reserved_bytes, &mut self.reserved_reply_bytes);
    }

    /// Returns whether to disconnect a client because it reads its replies too slowly: it has more
    /// than [`MAX_UNSENT_BYTES`] of unsent output, and the unsent replies of all clients exceed
    /// [`MAX_BACKLOG_FACTOR`] times their budget.
    ///
    /// The limits that stop parsing do not bound the replies to commands already in flight. This
    /// check bounds them, so that the process does not run out of memory.
    fn has_excessive_backlog(&self, client: &ClientConnection, context: &Context) -> bool {
        let max_unsent_bytes = MAX_BACKLOG_FACTOR * context.config.memory_budget.unsent_reply_bytes;
        self.unsent_bytes > max_unsent_bytes && client.socket.unsent_bytes() > MAX_UNSENT_BYTES
    }
}
