//! Parsing and submitting the commands of a client, and writing its replies.

use super::connection::{PendingReply, MAX_UNSENT_BYTES};
use super::{ClientConnection, ClientConnections, EvictionPriority, MAX_INPUT_BYTES};
use crate::client_protocol::CommandStep;
use crate::connection_token::ConnectionToken;
use crate::connections::socket::Interest;
use crate::dispatcher::{ReplySlot, StorageRequest};
use crate::event_loop::Context;
use io_scheduler::Micros;
use std::io;

impl ClientConnections {
    /// Takes the next steps on a connection: runs the commands that have arrived, writes the replies that are
    /// ready, and then stores the connection, starts its lingering close or drops it.
    pub(super) fn advance(
        &mut self,
        token: ConnectionToken,
        mut client: ClientConnection,
        context: &mut Context,
    ) {
        let parsed_bytes = self.run_commands(token, &mut client, context);
        self.consume_input(&mut client, parsed_bytes, context);
        let input_is_full = client.socket.input.len() >= MAX_INPUT_BYTES;
        let may_close =
            client.is_closing() || context.shutdown.is_draining() && !client.has_partial_command();
        let flushed = self.flush(&mut client, context.now);
        if flushed.is_err() || self.has_excessive_backlog(&client, context) {
            return self.drop_connection(token, client, context);
        }
        if may_close && client.is_fully_replied() {
            return self.linger(token, client, context);
        }
        let interest = if input_is_full || client.is_closing() {
            Interest::Paused
        } else {
            Interest::Read
        };
        if client
            .socket
            .set_interest(&context.poller, token, interest)
            .is_err()
        {
            return self.drop_connection(token, client, context);
        }
        self.store(token, client, context);
    }

    /// Parses and runs commands until a limit on pending replies is reached; returns the length of their
    /// input in bytes.
    fn run_commands(
        &mut self,
        token: ConnectionToken,
        client: &mut ClientConnection,
        context: &mut Context,
    ) -> usize {
        let mut position = 0;
        let over_budget = self.unsent_bytes >= context.config.budget.unsent_reply_bytes;
        while client.may_parse_command() {
            // While the unsent replies of all clients exceed their budget, each client gets one reply at a
            // time.
            if over_budget && !client.replies.is_empty() {
                break;
            }
            let slot = client.next_slot;
            let has_endpoint = context.dispatcher.has_endpoint();
            let input = &client.socket.input;
            match client
                .protocol
                .parse_command(input, &mut position, slot, has_endpoint)
            {
                CommandStep::Incomplete => break,
                CommandStep::Reply(bytes) => {
                    client.replies.push_back(PendingReply {
                        slot,
                        bytes: Some(bytes),
                    });
                }
                CommandStep::Close(bytes) => {
                    client.close_after_reply(bytes);
                    break;
                }
                CommandStep::Submit(requests) => self.submit(token, client, requests, context),
            }
            client.next_slot = client.next_slot.next();
            client.eviction_priority = client.eviction_priority.max(EvictionPriority::Commands);
            client.last_active_at = context.now;
            client.queue_ready_replies();
        }
        position
    }

    /// Submits the requests of the next command to the dispatcher; its reply is pending until they have their
    /// responses.
    fn submit(
        &mut self,
        token: ConnectionToken,
        client: &mut ClientConnection,
        requests: Vec<StorageRequest>,
        context: &mut Context,
    ) {
        let slot = client.next_slot;
        client.replies.push_back(PendingReply { slot, bytes: None });
        if client.eviction_priority < EvictionPriority::Requests {
            client.eviction_priority = EvictionPriority::Requests;
            self.requesters += 1;
        }
        let reply_slot = ReplySlot {
            connection: token,
            slot,
        };
        let mut ids = Vec::with_capacity(requests.len());
        for request in requests {
            ids.push(context.dispatcher.submit(
                request,
                reply_slot,
                context.now,
                &mut context.timers,
            ));
        }
        client.open_requests.insert(slot, ids);
    }

    /// Drops the input that was parsed, or all of it on a connection that is closing, and updates the count
    /// of buffered bytes. If the partial commands of all clients exceed their budget, a partial command of
    /// this client is rejected and its connection closes.
    fn consume_input(
        &mut self,
        client: &mut ClientConnection,
        parsed_bytes: usize,
        context: &Context,
    ) {
        let consumed = if client.is_closing() {
            client.socket.input.len()
        } else {
            parsed_bytes
        };
        client.socket.consume(consumed);
        if consumed > 0 || client.socket.input.is_empty() {
            client.partial_command_since = None;
        }
        if !client.socket.input.is_empty() && client.replies.is_empty() {
            client.partial_command_since.get_or_insert(context.now);
        }
        let buffered_bytes = client.socket.input.capacity();
        client
            .counted_partial_command_bytes
            .set(buffered_bytes, &mut self.partial_command_bytes);
        let over_budget = self.partial_command_bytes > context.config.budget.partial_command_bytes;
        if over_budget && client.partial_command_since.is_some() && !client.is_closing() {
            client.close_after_reply(client.protocol.overloaded_reply());
            client.socket.consume(client.socket.input.len());
        }
    }

    /// Writes pending replies as far as the socket accepts them, and updates the count of unsent bytes.
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

    /// Whether a client is to be disconnected because it reads its replies too slowly: it has a lot of unsent
    /// output, and the unsent replies of all clients exceed twice their budget. The limits on parsing
    /// commands do not bound the replies to commands already in flight; this does, before the process runs
    /// out of memory.
    fn has_excessive_backlog(&self, client: &ClientConnection, context: &Context) -> bool {
        self.unsent_bytes > 2 * context.config.budget.unsent_reply_bytes
            && client.socket.unsent_bytes() > MAX_UNSENT_BYTES
    }
}
