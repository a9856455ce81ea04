//! Connections that no longer carry a request: returned to their pool, or closed.

use super::connection::NodeConnection;
use super::node_connections::NodeConnections;
use super::pool::ConnectionPool;
use crate::connection_token::ConnectionToken;
use crate::context::Context;
use crate::dispatcher::AbortCause;
use io_scheduler::{Micros, NodeId};

impl NodeConnections {
    /// Puts a connection that carries no request into its pool. It is closed instead if its node
    /// has another address by now or is no longer listed: another process may listen at the
    /// previous address.
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

    /// The pool of a connection, if its node is listed and still has the address of the
    /// connection.
    fn current_pool(
        &mut self,
        connection: &NodeConnection,
        context: &Context,
    ) -> Option<&mut ConnectionPool> {
        if !context.dispatcher.knows_node(connection.node) {
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

    /// Closes a connection that carries no attempt, and removes it from its pool.
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

    /// Fails a connection: closes it, and aborts the attempt that it carries, if any. A connection
    /// that carries none is closed by [`Self::drop_connection`] in the same way.
    pub(super) fn fail_connection(
        &mut self,
        mut connection: NodeConnection,
        cause: AbortCause,
        context: &mut Context,
    ) {
        let carried = connection.carried.take();
        let node = connection.node;
        let idle_before_request = connection.idle_before_request;
        self.drop_connection(connection, context);
        let Some(carried) = carried else { return };
        if cause == AbortCause::ConnectionLost && carried.may_have_executed {
            let reset_after = context.now - carried.started_at;
            self.record_reset(node, idle_before_request, reset_after);
        }
        self.attempt_connections.remove(&carried.attempt.id);
        context.abort_attempt(carried.attempt.id, cause);
    }

    /// Lets the node's idle timeout estimate learn from a reset; see
    /// [`super::idle_timeout::IdleTimeoutEstimate::record_reset`].
    fn record_reset(&mut self, node: NodeId, idle: Micros, reset_after: Micros) {
        if let Some(pool) = self.pools.get_mut(&node) {
            pool.idle_timeout_estimate.record_reset(idle, reset_after);
        }
    }
}
