//! Returning connections without an attempt to their pool, and closing connections.

use super::connection::NodeConnection;
use super::node_connections::NodeConnections;
use super::pool::ConnectionPool;
use crate::connection_token::ConnectionToken;
use crate::context::Context;
use crate::dispatcher::AbortCause;
use io_scheduler::{Micros, NodeId};

impl NodeConnections {
    /// Returns a connection without an attempt to its pool. Closes it instead if its node has
    /// changed its address or is no longer listed, because another process may be listening at the
    /// old address.
    pub(super) fn return_to_pool(&mut self, mut connection: NodeConnection, context: &mut Context) {
        let Some(pool) = self.current_pool(&connection, context) else {
            return self.drop_connection(connection, context);
        };
        if !pool.idle.contains(&connection.token()) {
            pool.idle.push(connection.token());
            connection.idle_since = Some(context.now);
        }
        if connection.is_ready() {
            let close_at = context.now + pool.idle_timeout_estimate.max_idle_time();
            connection.timer.set(Some(close_at), &mut context.timers);
        }
        self.store(connection);
    }

    /// Returns the pool of a connection, if the node is listed and its address is still that of the
    /// connection.
    fn current_pool(
        &mut self,
        connection: &NodeConnection,
        context: &Context,
    ) -> Option<&mut ConnectionPool> {
        if !context.dispatcher.contains_node(connection.node) {
            return None;
        }
        let pool = self.pools.get_mut(&connection.node)?;
        if pool.address != Some(connection.address) {
            return None;
        }
        Some(pool)
    }

    /// Closes an idle connection by its token.
    pub(super) fn close_idle_connection(&mut self, token: ConnectionToken, context: &mut Context) {
        if let Some(connection) = self.take(token) {
            self.drop_connection(connection, context);
        }
    }

    /// Closes a connection that has no attempt, and removes it from its pool.
    pub(super) fn drop_connection(
        &mut self,
        mut connection: NodeConnection,
        context: &mut Context,
    ) {
        context.free(connection.token());
        connection.timer.cancel(&mut context.timers);
        self.count -= 1;
        connection
            .counted_large_response_bytes
            .set(0, &mut self.large_response_bytes);
        if let Some(pool) = self.pools.get_mut(&connection.node) {
            pool.remove(connection.token());
        }
        self.remove_pool_if_unused(connection.node, context);
    }

    /// Closes a connection that has failed, and aborts its attempt if it has one. Without an
    /// attempt this has the same effect as [`Self::drop_connection`].
    pub(super) fn fail_connection(
        &mut self,
        mut connection: NodeConnection,
        cause: AbortCause,
        context: &mut Context,
    ) {
        let in_flight = connection.in_flight.take();
        let node = connection.node;
        let idle_before_request = connection.idle_before_request;
        self.drop_connection(connection, context);
        let Some(in_flight) = in_flight else { return };
        if cause == AbortCause::ConnectionLost && in_flight.may_have_executed {
            let reset_after = context.now - in_flight.started_at;
            self.record_reset(node, idle_before_request, reset_after);
        }
        self.attempt_connections.remove(&in_flight.attempt.id);
        context.abort_attempt(in_flight.attempt.id, cause);
    }

    /// Updates the idle timeout estimate of a node after a reset; see
    /// [`super::idle_timeout::IdleTimeoutEstimate::record_reset`].
    fn record_reset(&mut self, node: NodeId, idle: Micros, reset_after: Micros) {
        if let Some(pool) = self.pools.get_mut(&node) {
            pool.idle_timeout_estimate.record_reset(idle, reset_after);
        }
    }
}
