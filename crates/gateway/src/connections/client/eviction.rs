//! Eviction: closing idle client connections when file descriptors run short.

use super::client_connections::ClientConnections;
use super::connection::PreCloseRead;
use crate::connection_token::ConnectionToken;
use crate::context::Context;

impl ClientConnections {
    /// Evicts one connection without pending replies. Returns whether there is such a candidate.
    ///
    /// A candidate with unread input stays open; see [`Self::evict`].
    pub(super) fn evict_one(&mut self, context: &mut Context) -> bool {
        let Some(token) = self.eviction_queue.next_to_evict(context.now) else {
            return false;
        };
        log::debug!(
            "accepting a client connection: evicting an idle one unless it has unread input"
        );
        self.evict(token, context);
        true
    }

    /// Closes a connection without a lingering close, because its descriptor is needed now. If
    /// unread input has arrived, the connection stays open and the input is handled instead, unless
    /// a lingering close is already in progress.
    fn evict(&mut self, token: ConnectionToken, context: &mut Context) {
        let Some(mut client) = self.take(token) else {
            return;
        };
        let is_active = client.read_before_close() == PreCloseRead::Input;
        if is_active && !client.is_lingering() {
            self.run_commands_and_flush(client, context);
        } else {
            self.drop_connection(client, context);
        }
    }

    /// Closes idle connections that have sent a request, starting with the one idle for longest,
    /// until the number of open connections that have sent a request is within its limit. Some
    /// clients send a single request and never close the connection; without the limit they would
    /// use up the descriptors for new connections.
    pub(crate) fn close_excess_requesting_clients(&mut self, context: &mut Context) {
        while self.requesting_clients > self.limits.requesting_clients {
            let Some(token) = self.eviction_queue.longest_idle_requesting_client() else {
                return;
            };
            log::debug!(
                "closing an idle client connection: too many open connections have sent a request"
            );
            self.close_idle(token, context);
        }
    }
}
