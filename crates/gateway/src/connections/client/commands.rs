//! Parsing and submitting the commands of a client, and writing its replies.

use super::client_connections::ClientConnections;
use super::connection::{ClientConnection, MAX_INPUT_BYTES, MAX_UNSENT_BYTES};
use super::eviction_queue::EvictionPriority;
use crate::client_protocol::CommandStep;
use crate::context::Context;
use crate::storage_request::{ReplySlot, StorageRequest};
use io_scheduler::Micros;
use std::io;

/// Clients that read too slowly are disconnected once the unsent replies of all clients exceed
/// their budget by this factor.
const MAX_BACKLOG_FACTOR: usize = 2;

impl ClientConnections {
    /// Takes the next steps on a connection: runs the commands that have arrived, writes the
    /// replies that are ready, and then stores the connection, starts its lingering close or drops
    /// it.
    pub(super) fn advance(&mut self, mut client: ClientConnection, context: &mut Context) {
        let parsed_bytes = self.run_commands(&mut client, context);
        self.consume_input(&mut client, parsed_bytes, context);
        let input_is_full = client.socket.input.len() >= MAX_INPUT_BYTES;
        let is_drained = context.shutdown.is_draining() && !client.has_begun_command_or_upload();
        let may_close = client.is_closing() || is_drained;
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

    /// Parses and runs commands until a limit on pending replies is reached; returns the length of
    /// their input in bytes.
    fn run_commands(&mut self, client: &mut ClientConnection, context: &mut Context) -> usize {
        let mut position = 0;
        let over_budget = self.unsent_bytes >= context.config.budget.unsent_reply_bytes;
        while client.may_parse_command() {
            // While the unsent replies of all clients exceed their budget, each client gets one
            // reply at a time.
            if over_budget && !client.replies.is_empty() {
                break;
            }
            let has_endpoint = context.dispatcher.has_endpoint();
            match client.parse_command(&mut position, has_endpoint) {
                CommandStep::Incomplete => break,
                CommandStep::Close(reply) => {
                    client.close_after_reply(reply);
                    break;
                }
                CommandStep::Reply(reply) => client.replies.push_encoded(reply),
                CommandStep::Submit(requests) => self.submit(client, requests, context),
            }
            client.note_command(context.now);
        }
        position
    }

    /// Submits the requests of the next command to the dispatcher; its reply is pending until they
    /// have their responses.
    fn submit(
        &mut self,
        client: &mut ClientConnection,
        requests: Vec<StorageRequest>,
        context: &mut Context,
    ) {
        if client.eviction_priority < EvictionPriority::Requests {
            client.eviction_priority = EvictionPriority::Requests;
            self.requesters += 1;
        }
        let reply_slot = ReplySlot {
            connection: client.token(),
            slot: client.replies.next_slot(),
        };
        let ids = requests
            .into_iter()
            .map(|request| context.submit(request, reply_slot))
            .collect();
        client.replies.push_awaiting(ids);
    }

    /// Drops the input that was parsed, or all of it on a connection that is closing, and updates
    /// the count of buffered bytes. If the partial commands of all clients exceed their budget, a
    /// partial command of this client is rejected and its connection closes.
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
        let over_budget = self.partial_command_bytes > context.config.budget.partial_command_bytes;
        if over_budget && client.partial_command_since.is_some() && !client.is_closing() {
            client.close_after_reply(client.protocol.overloaded_reply());
            client.socket.consume_all();
        }
    }

    /// Writes pending replies as far as the socket accepts them, and updates the count of unsent
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

    /// Whether a client is to be disconnected because it reads its replies too slowly: it has a
    /// lot of unsent output, and the unsent replies of all clients exceed twice their budget. The
    /// limits on parsing commands do not bound the replies to commands already in flight; this
    /// does, before the process runs out of memory.
    fn has_excessive_backlog(&self, client: &ClientConnection, context: &Context) -> bool {
        let max_unsent_bytes = MAX_BACKLOG_FACTOR * context.config.budget.unsent_reply_bytes;
        self.unsent_bytes > max_unsent_bytes && client.socket.unsent_bytes() > MAX_UNSENT_BYTES
    }
}
