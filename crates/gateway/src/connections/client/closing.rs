//! Closing client connections: idle ones, after a last reply, or at once.

use super::client_connections::ClientConnections;
use super::connection::{ClientConnection, LateActivity};
use super::eviction_queue::EvictionPriority;
use crate::connection_token::ConnectionToken;
use crate::connections::socket::Interest;
use crate::context::{ConnectionKind, Context};
use io_scheduler::Micros;

impl ClientConnections {
    /// Closes the connections that have been idle for at least `min_idle_time` microseconds.
    pub(crate) fn close_idle_for(&mut self, min_idle_time: Micros, context: &mut Context) {
        let idle: Vec<ConnectionToken> = context
            .tokens_of(ConnectionKind::Client)
            .filter(|token| self.is_idle_for(*token, min_idle_time, context.now))
            .collect();
        for token in idle {
            self.close_idle(token, context);
        }
    }

    /// Whether a connection has been idle for at least `min_idle_time` microseconds.
    fn is_idle_for(&self, token: ConnectionToken, min_idle_time: Micros, now: Micros) -> bool {
        let Some(client) = self.get(token) else {
            return false;
        };
        client.is_idle() && now - client.last_active_at >= min_idle_time
    }

    /// Closes an idle connection; see [`Self::close_unless_active`].
    pub(super) fn close_idle(&mut self, token: ConnectionToken, context: &mut Context) {
        if let Some(client) = self.take(token) {
            self.close_unless_active(client, context);
        }
    }

    /// Starts the lingering close of an idle connection, unless input has arrived that was not
    /// read yet.
    pub(super) fn close_unless_active(
        &mut self,
        mut client: ClientConnection,
        context: &mut Context,
    ) {
        match client.read_late_input() {
            LateActivity::None => self.linger(client, context),
            LateActivity::Input => self.advance(client, context),
            LateActivity::Ended => self.drop_connection(client, context),
        }
    }

    /// Starts or continues the lingering close of a connection on which every reply is written.
    ///
    /// If the gateway closed the socket while the client still sends, TCP would reset the
    /// connection, and the client might lose the last reply. So the gateway closes its sending
    /// side first, and reads and drops what the client still sends until the client has closed its
    /// side too. The dropped bytes may contain requests: they have not run, and the client sends
    /// them again on another connection.
    pub(super) fn linger(&mut self, mut client: ClientConnection, context: &mut Context) {
        if !client.is_lingering() {
            if client.socket.shutdown_write().is_err() {
                return self.drop_connection(client, context);
            }
            client.start_lingering(context.now);
            self.uncount_requester(&mut client);
        }
        client.socket.consume_all();
        let registered = client.socket.set_interest(Interest::Read, &context.poller);
        if registered.is_err() {
            return self.drop_connection(client, context);
        }
        self.store(client, &mut context.timers);
    }

    /// Closes a connection at once. The requests of its commands without a reply are reported as
    /// those of a client that has disconnected, which does not cancel every attempt; see
    /// [`crate::dispatcher::Dispatcher::client_disconnected`].
    pub(super) fn drop_connection(&mut self, mut client: ClientConnection, context: &mut Context) {
        context.free(client.token());
        client.timer.cancel(&mut context.timers);
        self.count -= 1;
        self.uncount_requester(&mut client);
        client.counted_unsent_bytes.set(0, &mut self.unsent_bytes);
        client
            .counted_partial_command_bytes
            .set(0, &mut self.partial_command_bytes);
        for id in client.replies.into_open_requests() {
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
