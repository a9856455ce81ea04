//! What becomes of a connection that carries no request, or is lost.

use super::pool::ConnectionPool;
use super::{NodeConnection, NodeConnections};
use crate::connections::ConnectionToken;
use crate::event_loop::{Connection, Context};
use crate::timer_queue::Timer;
use io_scheduler::Outcome;

impl NodeConnections {
    /// Puts an idle connection into its pool. It is closed if the node has moved or is no longer listed:
    /// another process may listen at its previous address.
    pub(super) fn return_to_pool(
        &mut self,
        token: ConnectionToken,
        mut connection: NodeConnection,
        context: &mut Context,
    ) {
        let Some(pool) = self.current_pool(&connection, context) else {
            return self.drop_connection(token, connection, context);
        };
        if !pool.idle.contains(&token) {
            pool.idle.push(token);
            connection.idle_since = Some(context.now);
        }
        if connection.is_ready() {
            let close_at = context.now + pool.idle_timeout.idle_timeout();
            context.timers.reschedule(&mut connection.deadline, Some(close_at), Timer::Connection(token));
        }
        context.connections.put(token, Connection::Node(connection));
    }

    /// The pool of a connection, if its node is listed and still has the address of the connection.
    fn current_pool(
        &mut self,
        connection: &NodeConnection,
        context: &Context,
    ) -> Option<&mut ConnectionPool> {
        let is_listed = context.dispatcher.knows_node(connection.node);
        let pool = self.pools.get_mut(&connection.node)?;
        (is_listed && pool.address == Some(connection.address)).then_some(pool)
    }

    /// Closes an idle connection.
    pub(super) fn close_token(&mut self, token: ConnectionToken, context: &mut Context) {
        if let Some(Connection::Node(connection)) = context.connections.free(token) {
            self.drop_connection(token, connection, context);
        }
    }

    /// Closes a connection at once; it carries no attempt any more.
    pub(super) fn drop_connection(
        &mut self,
        token: ConnectionToken,
        mut connection: NodeConnection,
        context: &mut Context,
    ) {
        context.connections.free(token);
        context.timers.reschedule(&mut connection.deadline, None, Timer::Connection(token));
        self.count -= 1;
        self.large_response_bytes -= connection.counted_large_response_bytes;
        if let Some(pool) = self.pools.get_mut(&connection.node) {
            pool.count -= 1;
            pool.idle.retain(|idle| *idle != token);
        }
        self.remove_pool_if_unused(connection.node, context);
    }

    /// Closes a connection that failed. The attempt in flight ends with `outcome`, or as one that never ran.
    pub(super) fn fail_connection(
        &mut self,
        token: ConnectionToken,
        mut connection: NodeConnection,
        outcome: Outcome,
        context: &mut Context,
    ) {
        let in_flight = connection.in_flight.take();
        let (node, idle) = (connection.node, connection.idle_before_request);
        self.drop_connection(token, connection, context);
        let Some(in_flight) = in_flight else { return };
        if outcome == Outcome::Reset && in_flight.is_reported_written {
            if let Some(pool) = self.pools.get_mut(&node) {
                pool.idle_timeout.record_reset(idle, context.now - in_flight.started_at);
            }
        }
        self.attempt_connections.remove(&in_flight.attempt);
        context.abort_attempt(in_flight.attempt, outcome);
    }
}
