//! Connections that no longer carry a request: returned to their pool, or closed.

use super::pool::ConnectionPool;
use super::{NodeConnection, NodeConnections};
use crate::connection_token::ConnectionToken;
use crate::event_loop::{Connection, Context};
use crate::timer_queue::Timer;
use io_scheduler::Outcome;

impl NodeConnections {
    /// Puts a connection that carries no request into its pool. It is closed instead if its node has another
    /// address by now or is no longer listed: another process may listen at the previous address.
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
            let close_at = context.now + pool.idle_timeout_estimate.max_idle_time();
            context.timers.reschedule(
                &mut connection.timer_deadline,
                Some(close_at),
                Timer::Connection(token),
            );
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

    /// Closes an idle connection by its token.
    pub(super) fn close_idle_connection(&mut self, token: ConnectionToken, context: &mut Context) {
        if let Some(Connection::Node(connection)) = context.connections.free(token) {
            self.drop_connection(token, connection, context);
        }
    }

    /// Closes a connection that carries no attempt, and removes it from its pool.
    pub(super) fn drop_connection(
        &mut self,
        token: ConnectionToken,
        mut connection: NodeConnection,
        context: &mut Context,
    ) {
        context.connections.free(token);
        context.timers.reschedule(
            &mut connection.timer_deadline,
            None,
            Timer::Connection(token),
        );
        self.count -= 1;
        connection
            .counted_large_response_bytes
            .set(0, &mut self.large_response_bytes);
        if let Some(pool) = self.pools.get_mut(&connection.node) {
            pool.count -= 1;
            pool.idle.retain(|idle| *idle != token);
        }
        self.remove_pool_if_unused(connection.node, context);
    }

    /// Closes a connection that failed and aborts the attempt in flight, if there is one. Its outcome is
    /// `outcome` if the request may have run; see [`crate::dispatcher::Dispatcher::abort_attempt`].
    pub(super) fn fail_connection(
        &mut self,
        token: ConnectionToken,
        mut connection: NodeConnection,
        outcome: Outcome,
        context: &mut Context,
    ) {
        let in_flight = connection.in_flight.take();
        let node = connection.node;
        let idle_before_request = connection.idle_before_request;
        self.drop_connection(token, connection, context);
        let Some(in_flight) = in_flight else { return };
        if outcome == Outcome::Reset && in_flight.is_marked_written {
            if let Some(pool) = self.pools.get_mut(&node) {
                let reset_after = context.now - in_flight.started_at;
                pool.idle_timeout_estimate
                    .record_reset(idle_before_request, reset_after);
            }
        }
        self.attempt_connections.remove(&in_flight.attempt);
        context.abort_attempt(in_flight.attempt, outcome);
    }
}
