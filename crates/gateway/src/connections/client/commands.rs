//! From a client's input to its replies: commands are parsed and submitted, and what is ready is written.

use super::connection::{PendingReply, MAX_UNSENT_BYTES};
use super::{ClientConnection, ClientConnections, EvictionPriority, MAX_INPUT};
use crate::client_protocol::CommandStep;
use crate::connections::socket::Interest;
use crate::connections::ConnectionToken;
use crate::dispatcher::{ReplySlot, StorageRequest};
use crate::event_loop::Context;
use io_scheduler::Micros;
use std::io;

impl ClientConnections {
    /// Runs the commands that have arrived, writes what is ready, and then closes the connection or keeps it.
    pub(super) fn advance(
        &mut self,
        token: ConnectionToken,
        mut client: ClientConnection,
        context: &mut Context,
    ) {
        let parsed = self.run_commands(token, &mut client, context);
        self.consume_input(&mut client, parsed, context);
        let input_is_full = client.socket.input.len() >= MAX_INPUT;
        let is_finished = client.is_closing()
            || context.shutdown.is_draining()
                && client.socket.input.is_empty()
                && !client.protocol.is_mid_command();
        let flushed = self.flush(&mut client, context.now);
        if flushed.is_err() || self.has_excessive_backlog(&client, context) {
            return self.drop_connection(token, client, context);
        }
        if is_finished && client.is_fully_replied() {
            return self.linger(token, client, context);
        }
        let interest = if input_is_full || client.is_closing() { Interest::Paused } else { Interest::Read };
        if client.socket.set_interest(&context.poller, token, interest).is_err() {
            return self.drop_connection(token, client, context);
        }
        self.store(token, client, context);
    }

    /// Parses and runs as many commands as may wait for a reply; returns the length of their input.
    fn run_commands(
        &mut self,
        token: ConnectionToken,
        client: &mut ClientConnection,
        context: &mut Context,
    ) -> usize {
        let mut position = 0;
        let over_budget = self.unsent_bytes >= context.config.budget.unsent_reply_bytes;
        while client.may_parse_command() {
            // While all clients together leave too much unsent, each gets one reply at a time.
            if over_budget && !client.replies.is_empty() {
                break;
            }
            let slot = client.next_slot;
            let has_endpoint = context.dispatcher.has_endpoint();
            let input = &client.socket.input;
            match client.protocol.parse_command(input, &mut position, slot, has_endpoint) {
                CommandStep::Incomplete => break,
                CommandStep::Reply(bytes) => {
                    client.replies.push_back(PendingReply { slot, bytes: Some(bytes) });
                }
                CommandStep::Close(bytes) => {
                    client.close_after_reply(bytes);
                    break;
                }
                CommandStep::Submit(requests) => self.submit(token, client, requests, context),
            }
            client.next_slot += 1;
            client.eviction_priority = client.eviction_priority.max(EvictionPriority::Commands);
            client.last_active_at = context.now;
            client.queue_ready_replies();
        }
        position
    }

    /// Hands the requests of the next command to the dispatcher.
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
        let reply_slot = ReplySlot { connection: token, slot };
        let mut ids = Vec::with_capacity(requests.len());
        for request in requests {
            ids.push(context.dispatcher.submit(request, reply_slot, context.now, &mut context.timers));
        }
        client.open_requests.insert(slot, ids);
    }

    /// Drops the input that was parsed. If the partial commands of all clients take too much memory, this one
    /// is rejected.
    fn consume_input(&mut self, client: &mut ClientConnection, parsed: usize, context: &Context) {
        let consumed = if client.is_closing() { client.socket.input.len() } else { parsed };
        client.socket.consume(consumed);
        if consumed > 0 || client.socket.input.is_empty() {
            client.partial_command_since = None;
        }
        if !client.socket.input.is_empty() && client.replies.is_empty() {
            client.partial_command_since.get_or_insert(context.now);
        }
        let bytes = client.socket.input.capacity();
        self.partial_command_bytes =
            self.partial_command_bytes + bytes - client.counted_partial_command_bytes;
        client.counted_partial_command_bytes = bytes;
        let over_budget = self.partial_command_bytes > context.config.budget.partial_command_bytes;
        if over_budget && client.partial_command_since.is_some() && !client.is_closing() {
            client.close_after_reply(client.protocol.overloaded_reply());
            client.socket.consume(client.socket.input.len());
        }
    }

    /// Writes what the client takes now, and counts what it leaves.
    fn flush(&mut self, client: &mut ClientConnection, now: Micros) -> io::Result<()> {
        let unsent_before = client.socket.unsent_bytes();
        let result = client.socket.flush();
        if client.socket.unsent_bytes() < unsent_before {
            client.last_active_at = now;
        }
        let bytes = client.unsent_bytes();
        self.unsent_bytes = self.unsent_bytes + bytes - client.counted_unsent_bytes;
        client.counted_unsent_bytes = bytes;
        result
    }

    /// Whether a client takes too little of its replies while all clients together leave far too much unsent.
    /// Replies may come faster than the limits on commands foresee: the connection is given up before the
    /// process runs out of memory.
    fn has_excessive_backlog(&self, client: &ClientConnection, context: &Context) -> bool {
        self.unsent_bytes > 2 * context.config.budget.unsent_reply_bytes
            && client.socket.unsent_bytes() > MAX_UNSENT_BYTES
    }
}
