//! Eviction: closing idle client connections when descriptors run short.

use super::client_connections::ClientConnections;
use super::connection::LateActivity;
use crate::connection_token::ConnectionToken;
use crate::context::Context;

impl ClientConnections {
    /// Tries to evict a connection without pending replies; returns false if there is none.
    ///
    /// The connection stays open if input has arrived that was not read yet, see [`Self::evict`].
    /// The result is true and the log line is written in that case too.
    pub(super) fn evict_one(&mut self, context: &mut Context) -> bool {
        let Some(token) = self.eviction_queue.next_to_evict(context.now) else {
            return false;
        };
        log::debug!("evicting an idle client connection for another one");
        self.evict(token, context);
        true
    }

    /// Closes a connection at once, without a lingering close, as its descriptor is needed now. It
    /// stays open if input has arrived that was not read yet.
    fn evict(&mut self, token: ConnectionToken, context: &mut Context) {
        let Some(mut client) = self.take(token) else {
            return;
        };
        let is_active = client.read_late_input() == LateActivity::Input;
        if is_active && !client.is_lingering() {
            self.advance(client, context);
        } else {
            self.drop_connection(client, context);
        }
    }

    /// Closes idle connections of clients that have sent a request, those idle for longest first,
    /// until their number is within its limit. Some clients never close a connection after a
    /// single request, and would leave no descriptors for new connections.
    pub(crate) fn close_excess_requesters(&mut self, context: &mut Context) {
        while self.requesters > self.limits.requesters {
            let Some(token) = self.eviction_queue.longest_idle_requester() else {
                return;
            };
            log::debug!("closing an idle client connection: too many have sent requests");
            self.close_idle(token, context);
        }
    }
}
