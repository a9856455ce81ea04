//! Closing client connections: idle ones, those whose last reply has been written, and failed ones.

use super::client_connections::ClientConnections;
use super::connection::{ClientConnection, PreCloseRead};
use super::eviction_queue::EvictionRank;
use crate::connection_token::ConnectionToken;
use crate::connections::socket::Interest;
use crate::context::{Context, DescriptorKind};
use io_scheduler::Micros;

impl ClientConnections {
    /// Closes all connections that have been idle for at least `min_idle_time` microseconds.
    pub(crate) fn close_idle_for(&mut self, min_idle_time: Micros, context: &mut Context) {
        let idle: Vec<ConnectionToken> = context
            .tokens_of(DescriptorKind::Client)
            .filter(|token| self.is_idle_for(*token, min_idle_time, context.now))
            .collect();
        for token in idle {
            self.close_idle(token, context);
        }
    }

    /// Closes all connections at the end of a graceful shutdown. A complete command that has
    /// arrived is still run; an incomplete one gets an error. Connections with a pending reply are
    /// closed once it is written.
    pub(crate) fn close_all(&mut self, context: &mut Context) {
        let tokens: Vec<ConnectionToken> = context.tokens_of(DescriptorKind::Client).collect();
        for token in tokens {
            self.run_commands_and_close(token, context);
        }
    }

    /// Runs the commands that have arrived on a connection, then closes it unless a reply is
    /// pending.
    fn run_commands_and_close(&mut self, token: ConnectionToken, context: &mut Context) {
        let Some(mut client) = self.take(token) else {
            return;
        };
        if client.is_closing() {
            return self.store(client, &mut context.timers);
        }
        if client.read_before_close() == PreCloseRead::Ended {
            return self.drop_connection(client, context);
        }
        self.run_commands_and_flush(client, context);
        let Some(mut client) = self.take(token) else {
            return;
        };
        if !client.is_closing() && client.is_fully_replied() {
            let reply = client.protocol.overloaded_reply();
            client.close_after_reply(reply);
            return self.run_commands_and_flush(client, context);
        }
        self.store(client, &mut context.timers);
    }

    /// Returns whether a connection has been idle for at least `min_idle_time` microseconds.
    fn is_idle_for(&self, token: ConnectionToken, min_idle_time: Micros, now: Micros) -> bool {
        let Some(client) = self.get(token) else {
            return false;
        };
        client.is_idle() && now - client.last_active_at >= min_idle_time
    }

    /// Closes an idle connection by its token; see [`Self::close_unless_active`].
    pub(super) fn close_idle(&mut self, token: ConnectionToken, context: &mut Context) {
        if let Some(client) = self.take(token) {
            self.close_unless_active(client, context);
        }
    }

    /// Starts the lingering close of an idle connection. If input has arrived in the meantime, the
    /// connection stays open and the input is handled instead.
    pub(super) fn close_unless_active(
        &mut self,
        mut client: ClientConnection,
        context: &mut Context,
    ) {
        match client.read_before_close() {
            PreCloseRead::NoInput => self.linger(client, context),
            PreCloseRead::Input => self.run_commands_and_flush(client, context),
            PreCloseRead::Ended => self.drop_connection(client, context),
        }
    }

    /// Starts or continues the lingering close of a connection whose replies have all been written.
    ///
    /// If the gateway closed the socket while the client is still sending, TCP would reset the
    /// connection and the client might lose the last reply. The gateway therefore shuts down its
    /// sending side first. It then reads and discards input until the client closes its side too.
    /// Requests in the discarded bytes are not executed; the client is expected to send them again
    /// on another connection.
    pub(super) fn linger(&mut self, mut client: ClientConnection, context: &mut Context) {
        if !client.is_lingering() {
            if client.socket.shutdown_write().is_err() {
                return self.drop_connection(client, context);
            }
            log::debug!(
                "client connection {}: all replies are written, closing",
                u64::from(client.token())
            );
            client.start_lingering(context.now);
            self.remove_from_requesting_clients(&mut client);
        }
        client.socket.consume_all();
        let registered = client.socket.set_interest(Interest::Read, &context.poller);
        if registered.is_err() {
            return self.drop_connection(client, context);
        }
        self.store(client, &mut context.timers);
    }

    /// Closes a connection without a lingering close. For each request of a command without a
    /// reply, the dispatcher is notified that the client has disconnected. That does not cancel
    /// every attempt; see [`crate::dispatcher::Dispatcher::record_response_not_needed`].
    pub(super) fn drop_connection(&mut self, mut client: ClientConnection, context: &mut Context) {
        log::debug!(
            "client connection {}: closed in state {:?}, {} commands without a reply",
            u64::from(client.token()),
            client.lifecycle,
            client.replies.len()
        );
        context.free(client.token());
        client.timer.cancel(&mut context.timers);
        self.count -= 1;
        self.remove_from_requesting_clients(&mut client);
        client.counted_unsent_bytes.set(0, &mut self.unsent_bytes);
        client
            .counted_reserved_reply_bytes
            .set(0, &mut self.reserved_reply_bytes);
        client
            .counted_partial_command_bytes
            .set(0, &mut self.partial_command_bytes);
        client
            .counted_waiting_command_bytes
            .set(0, &mut self.waiting_command_bytes);
        for id in client.replies.into_requests_of_pending_replies() {
            context.record_response_not_needed(id);
        }
    }

    /// Stops counting a connection among those that have sent a request. Lowers its eviction rank,
    /// which records whether it is counted.
    fn remove_from_requesting_clients(&mut self, client: &mut ClientConnection) {
        if client.eviction_rank == EvictionRank::SentRequest {
            client.eviction_rank = EvictionRank::SentCommand;
            self.requesting_clients -= 1;
        }
    }
}
