//! Closing client connections: idle ones, after a last reply, or at once.

use super::connection::Lifecycle;
use super::{ClientConnection, ClientConnections, EvictionPriority, MAX_INPUT_BYTES};
use crate::connection_token::ConnectionToken;
use crate::connections::socket::{Interest, StreamStatus};
use crate::event_loop::{Connection, Context};
use crate::timer_queue::Timer;
use io_scheduler::Micros;

/// How many bytes a lingering close reads and drops before it closes the connection.
const MAX_LINGERING_BYTES: usize = 256 << 10;

impl ClientConnections {
    /// Closes the connections that have been idle for at least `min_idle_time` microseconds.
    pub(crate) fn close_idle_for(&mut self, min_idle_time: Micros, context: &mut Context) {
        let mut tokens = Vec::new();
        for (token, connection) in context.connections.iter() {
            let Connection::Client(client) = connection else {
                continue;
            };
            if client.is_idle() && context.now - client.last_active_at >= min_idle_time {
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

    /// Starts the lingering close of an idle connection, unless input has arrived that was not read yet.
    pub(super) fn close_unless_active(
        &mut self,
        token: ConnectionToken,
        mut client: ClientConnection,
        context: &mut Context,
    ) {
        let length_before = client.socket.input.len();
        match client.socket.read_available(MAX_INPUT_BYTES) {
            Ok(StreamStatus::Open) if client.socket.input.len() > length_before => {
                self.advance(token, client, context);
            }
            Ok(StreamStatus::Open) => self.linger(token, client, context),
            _ => self.drop_connection(token, client, context),
        }
    }

    /// Starts or continues the lingering close of a connection on which every reply is written.
    ///
    /// If the gateway closed the socket while the client still sends, TCP would reset the connection, and the
    /// client might lose the last reply. So the gateway closes its sending side first, and reads and drops
    /// what the client still sends until the client has closed its side too. The dropped bytes may contain
    /// requests: they have not run, and the client sends them again on another connection.
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
            client.lifecycle = Lifecycle::Lingering {
                remaining: MAX_LINGERING_BYTES,
            };
            client.last_active_at = context.now;
            self.uncount_requester(&mut client);
        }
        client.socket.consume(client.socket.input.len());
        if client
            .socket
            .set_interest(&context.poller, token, Interest::Read)
            .is_err()
        {
            return self.drop_connection(token, client, context);
        }
        self.store(token, client, context);
    }

    /// Closes a connection at once. Its requests without a final response are cancelled.
    pub(super) fn drop_connection(
        &mut self,
        token: ConnectionToken,
        mut client: ClientConnection,
        context: &mut Context,
    ) {
        context.connections.free(token);
        context
            .timers
            .reschedule(&mut client.timer_deadline, None, Timer::Connection(token));
        self.count -= 1;
        self.uncount_requester(&mut client);
        client.counted_unsent_bytes.set(0, &mut self.unsent_bytes);
        client
            .counted_partial_command_bytes
            .set(0, &mut self.partial_command_bytes);
        for id in client.open_requests.into_values().flatten() {
            context.client_disconnected(id);
        }
    }

    /// Removes a connection from the count of those that have sent a request.
    fn uncount_requester(&mut self, client: &mut ClientConnection) {
        if client.eviction_priority == EvictionPriority::Requests {
            client.eviction_priority = EvictionPriority::Commands;
            self.requesters -= 1;
        }
    }
}
