//! Eviction: closing idle client connections when file descriptors run short.

use super::client_connections::ClientConnections;
use super::connection::PreCloseRead;
use crate::connection_token::ConnectionToken;
use crate::context::Context;

/// Maximum number of connections that are checked for unread input to evict one of them.
const MAX_EVICTION_CHECKS: usize = 8;

impl ClientConnections {
    /// Tries to evict one connection without pending replies. Returns whether a descriptor was
    /// freed.
    ///
    /// Each candidate is checked at most once, because a client that sends without a pause has
    /// unread input at every check.
    pub(super) fn evict_one(&mut self, context: &mut Context) -> bool {
        let open_before = self.count;
        let candidates: Vec<ConnectionToken> = self
            .eviction_queue
            .in_order_of_eviction(context.now)
            .take(MAX_EVICTION_CHECKS)
            .collect();
        for token in candidates {
            self.evict_unless_active(token, context);
            if self.count < open_before {
                return true;
            }
        }
        false
    }

    /// Closes a connection without a lingering close, because its descriptor is needed now. If
    /// unread input has arrived, the connection stays open and the input is handled instead, unless
    /// a lingering close is already in progress.
    fn evict_unless_active(&mut self, token: ConnectionToken, context: &mut Context) {
        let Some(mut client) = self.take(token) else {
            return;
        };
        let has_new_input = client.read_before_close() == PreCloseRead::Input;
        if has_new_input && !client.is_lingering() {
            return self.run_commands_and_flush(client, context);
        }
        log::debug!(
            "client connection {}: evicted for a new one",
            u64::from(token)
        );
        self.drop_connection(client, context);
    }

    /// Closes idle connections that have sent a request, starting with the one idle for longest,
    /// until the number of open connections that have sent a request is within its limit. Some
    /// clients send a single request and never close the connection; without the limit they would
    /// use up the descriptors for new connections.
    ///
    /// A connection with unread input stays open and counts again in the next turn.
    pub(crate) fn close_excess_requesting_clients(&mut self, context: &mut Context) {
        let excess = self
            .requesting_clients
            .saturating_sub(self.limits.requesting_clients);
        if excess == 0 {
            return;
        }
        let longest_idle: Vec<ConnectionToken> = self
            .eviction_queue
            .idle_requesting_clients()
            .take(excess)
            .collect();
        for token in longest_idle {
            log::debug!(
                "closing an idle client connection: too many open connections have sent a request"
            );
            self.close_idle(token, context);
        }
    }
}
