//! The end of client connections.

use super::connection::Lifecycle;
use super::{ClientConnection, ClientConnections, EvictionPriority, MAX_INPUT};
use crate::connections::socket::{Interest, StreamStatus};
use crate::connections::ConnectionToken;
use crate::event_loop::{Connection, Context};
use crate::timer_queue::Timer;
use io_scheduler::Micros;

/// Bytes that a lingering close reads and drops at most.
const MAX_LINGERING_BYTES: usize = 256 << 10;

impl ClientConnections {
    /// Closes the connections that have been idle for at least `idle_for`.
    pub(crate) fn close_idle_for(&mut self, idle_for: Micros, context: &mut Context) {
        let mut tokens = Vec::new();
        for (token, connection) in context.connections.iter() {
            let Connection::Client(client) = connection else { continue };
            if client.is_idle() && context.now - client.last_active_at >= idle_for {
                tokens.push(token);
            }
        }
        for token in tokens {
            self.close_idle(token, context);
        }
    }

    /// Closes an idle connection; see [`Self::close_unless_active`].
    pub(super) fn close_idle(&mut self, token: ConnectionToken, context: &mut Context) {
        if let Some(client) = self.take(token, context) {
            self.close_unless_active(token, client, context);
        }
    }

    /// Closes a connection that has been idle, unless a command has arrived meanwhile.
    pub(super) fn close_unless_active(
        &mut self,
        token: ConnectionToken,
        mut client: ClientConnection,
        context: &mut Context,
    ) {
        let length_before = client.socket.input.len();
        match client.socket.read_available(MAX_INPUT) {
            Ok(StreamStatus::Open) if client.socket.input.len() > length_before => {
                self.advance(token, client, context);
            }
            Ok(StreamStatus::Open) => self.linger(token, client, context),
            _ => self.drop_connection(token, client, context),
        }
    }

    /// Starts or continues the lingering close of a connection on which every reply is written.
    ///
    /// Closing it at once while bytes arrive would reset it, and the last reply might be lost with them. So
    /// the client is notified of the end first, and what it still sends is read and dropped until it has closed
    /// its side too. No request of that is submitted: the client sends it again elsewhere.
    pub(super) fn linger(
        &mut self,
        token: ConnectionToken,
        mut client: ClientConnection,
        context: &mut Context,
    ) {
        if !client.is_lingering() {
            if client.socket.shutdown_write().is_err() {
                return self.drop_connection(token, client, context);
            }
            client.lifecycle = Lifecycle::Lingering { remaining: MAX_LINGERING_BYTES };
            client.last_active_at = context.now;
            self.uncount_requester(&mut client);
        }
        client.socket.consume(client.socket.input.len());
        if client.socket.set_interest(&context.poller, token, Interest::Read).is_err() {
            return self.drop_connection(token, client, context);
        }
        self.store(token, client, context);
    }

    /// Closes a connection at once. The requests that it has open are abandoned.
    pub(super) fn drop_connection(
        &mut self,
        token: ConnectionToken,
        mut client: ClientConnection,
        context: &mut Context,
    ) {
        context.connections.free(token);
        context.timers.reschedule(&mut client.deadline, None, Timer::Connection(token));
        self.count -= 1;
        self.uncount_requester(&mut client);
        self.unsent_bytes -= client.counted_unsent_bytes;
        self.partial_command_bytes -= client.counted_partial_command_bytes;
        for id in client.open_requests.into_values().flatten() {
            context.client_disconnected(id);
        }
    }

    /// No longer counts a connection among those that have sent a request.
    fn uncount_requester(&mut self, client: &mut ClientConnection) {
        if client.eviction_priority == EvictionPriority::Requests {
            client.eviction_priority = EvictionPriority::Commands;
            self.requesters -= 1;
        }
    }
}
