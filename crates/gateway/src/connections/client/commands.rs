//! Parsing the commands of a client, submitting their requests and writing the replies.

use super::client_connections::ClientConnections;
use super::connection::{ClientConnection, MAX_INPUT_BYTES, MAX_UNSENT_BYTES};
use super::eviction_queue::EvictionRank;
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
        let parsed_bytes = self.run_commands(&mut client, context);
        self.consume_input(&mut client, parsed_bytes, context);
        let input_is_full = client.socket.input.len() >= MAX_INPUT_BYTES;
        let is_closable_for_shutdown =
            context.shutdown.is_closing_clients() && !client.has_partial_command_or_open_upload();
        let may_close = client.is_closing() || is_closable_for_shutdown;
        let flushed = self.flush(&mut client, context.now);
        if flushed.is_err() || self.has_excessive_backlog(&client, context) {
            return self.drop_connection(client, context);
        }
        if may_close && client.is_fully_replied() {
            return self.linger(client, context);
        }
        let interest = client.interest(input_is_full);
        let registered = client.socket.set_interest(interest, &context.poller);
        if registered.is_err() {
            return self.drop_connection(client, context);
        }
        self.store(client, &mut context.timers);
    }

    /// Parses and runs commands until no complete one is left or a limit on pending replies is
    /// reached. Returns the number of input bytes that were parsed.
    fn run_commands(&mut self, client: &mut ClientConnection, context: &mut Context) -> usize {
        let mut position = 0;
        let over_budget = self.unsent_bytes >= context.config.memory_budget.unsent_reply_bytes;
        while client.may_parse_command() {
            // While the unsent replies of all clients exceed their budget, each client may have
            // only one pending reply.
            if over_budget && !client.replies.is_empty() {
                break;
            }
            let has_node_in_service = context.dispatcher.has_node_in_service();
            match client.parse_command(&mut position, has_node_in_service) {
                ParsedCommand::Incomplete => break,
                ParsedCommand::Close(reply) => {
                    client.close_after_reply(reply);
                    break;
                }
                ParsedCommand::Reply(reply) => client.replies.push_encoded(reply),
                ParsedCommand::Submit(requests) => self.submit(client, requests, context),
            }
            client.record_command(context.now);
        }
        position
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

    /// Discards the parsed input, or all input of a closing connection, and updates the total of
    /// buffered bytes. If the partial commands of all clients exceed their budget and this client
    /// has one, it is rejected and the connection is closed.
    fn consume_input(
        &mut self,
        client: &mut ClientConnection,
        parsed_bytes: usize,
        context: &Context,
    ) {
        client.consume_parsed(parsed_bytes, context.now);
        let buffered_bytes = client.socket.input.capacity();
        client
            .counted_partial_command_bytes
            .set(buffered_bytes, &mut self.partial_command_bytes);
        let over_budget =
            self.partial_command_bytes > context.config.memory_budget.partial_command_bytes;
        if over_budget && client.partial_command_since.is_some() && !client.is_closing() {
            client.close_after_reply(client.protocol.overloaded_reply());
            client.socket.consume_all();
        }
    }

    /// Writes as much of the pending replies as the socket accepts, and updates the total of unsent
    /// bytes.
    fn flush(&mut self, client: &mut ClientConnection, now: Micros) -> io::Result<()> {
        let unsent_before = client.socket.unsent_bytes();
        let result = client.socket.flush();
        if client.socket.unsent_bytes() < unsent_before {
            client.last_active_at = now;
        }
        let unsent_bytes = client.unsent_bytes();
        client
            .counted_unsent_bytes
            .set(unsent_bytes, &mut self.unsent_bytes);
        result
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
