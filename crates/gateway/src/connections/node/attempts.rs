//! Starting and abandoning attempts, and writing their requests.

use super::connection::{AttemptSpec, CarriedAttempt, NodeConnection};
use super::idle_timeout::IdleTimeoutEstimate;
use super::node_connections::NodeConnections;
use super::open::OpenError;
use crate::context::Context;
use crate::dispatcher::AbortCause;
use crate::storage_request::{AttemptId, Operation};
use io_scheduler::{Micros, NodeId};

impl NodeConnections {
    /// Starts an attempt on an idle connection or on a new one.
    pub(crate) fn start_attempt(&mut self, attempt: AttemptSpec, context: &mut Context) {
        // The client may have disconnected earlier in this turn.
        if !context.dispatcher.is_awaiting(attempt.id) {
            return;
        }
        let operation = attempt.request.operation;
        let mut connection = match self.connection_for(attempt.node, operation, context) {
            Ok(connection) => connection,
            Err(error) => {
                log::debug!("node {}: {error}", attempt.node.0);
                // The scheduler counts this as a fault of the node, also where the gateway itself
                // is short of connections.
                return context.abort_attempt(attempt.id, AbortCause::NoConnection);
            }
        };
        self.attempt_connections
            .insert(attempt.id, connection.token());
        connection.carried = Some(CarriedAttempt::new(attempt, context.now));
        self.advance(connection, context);
    }

    /// A connection for a new request: an idle one if the pool has a suitable one, else a new one.
    fn connection_for(
        &mut self,
        node: NodeId,
        operation: Operation,
        context: &mut Context,
    ) -> Result<NodeConnection, OpenError> {
        match self.take_idle(node, operation, context) {
            Some(connection) => Ok(connection),
            None => self.open(node, context),
        }
    }

    /// Takes an idle connection out of a node's pool, the last used one first.
    ///
    /// Connections that have been idle for too long for any request, or that are not reusable, are
    /// closed on the way. A connection that is still being established needs no such check, as it
    /// never was idle at the node.
    fn take_idle(
        &mut self,
        node: NodeId,
        operation: Operation,
        context: &mut Context,
    ) -> Option<NodeConnection> {
        loop {
            let pool = self.pools.get_mut(&node)?;
            let estimate = pool.idle_timeout_estimate;
            let token = pool.idle.pop()?;
            let Some(mut connection) = self.take(token) else {
                continue;
            };
            let idle_for = connection.idle_for(context.now);
            let is_allowed = is_idle_time_allowed(idle_for, operation, estimate);
            if !is_allowed && estimate.allows_idempotent(idle_for) {
                // It stays in the pool for idempotent requests. All others have been idle for
                // longer still.
                self.put_back_idle(connection);
                return None;
            }
            let is_usable = !connection.is_connected || is_allowed && connection.is_reusable();
            if is_usable {
                connection.idle_before_request = idle_for;
                return Some(connection);
            }
            self.drop_connection(connection, context);
        }
    }

    /// Puts a connection back that was just taken out of its pool, as the one to use next.
    fn put_back_idle(&mut self, connection: NodeConnection) {
        if let Some(pool) = self.pools.get_mut(&connection.node) {
            pool.idle.push(connection.token());
        }
        self.store(connection);
    }

    /// Abandons an attempt: frees its connection, after the dispatcher has aborted it. Nothing is
    /// reported. The connection is closed, which cancels the request at the node; if the request
    /// has not been encoded yet, the connection is returned to its pool instead.
    ///
    /// An attempt that was aborted here, as by [`Self::fail_connection`], has no connection any
    /// more.
    pub(crate) fn abandon_attempt(&mut self, attempt: AttemptId, context: &mut Context) {
        let Some(token) = self.attempt_connections.remove(&attempt) else {
            return;
        };
        let Some(mut connection) = self.take(token) else {
            return;
        };
        let carried = connection.carried.take();
        if carried.is_some_and(|carried| !carried.is_encoded()) {
            self.advance(connection, context);
        } else {
            self.drop_connection(connection, context);
        }
    }

    /// Takes the next steps on a connection: encodes the request that it carries if the connection
    /// is ready, writes pending output, and returns the connection to its pool if it carries no
    /// request.
    pub(super) fn advance(&mut self, mut connection: NodeConnection, context: &mut Context) {
        if connection.is_ready() {
            self.write_request(&mut connection, context);
        }
        let flushed = connection.flush();
        if let Some(attempt) = connection.take_possible_execution() {
            context.dispatcher.note_may_have_executed(attempt);
        }
        let interest = connection.interest();
        let result =
            flushed.and_then(|()| connection.socket.set_interest(interest, &context.poller));
        if result.is_err() {
            return self.fail_connection(connection, AbortCause::ConnectionLost, context);
        }
        if connection.carried.is_some() {
            return self.store(connection);
        }
        self.return_to_pool(connection, context);
    }

    /// Encodes the request that a connection carries, once. If the node has been draining for too
    /// long to start writing to it, the attempt is aborted instead and the connection is left
    /// without a request.
    fn write_request(&mut self, connection: &mut NodeConnection, context: &mut Context) {
        let Some(carried) = &connection.carried else {
            return;
        };
        if carried.is_encoded() {
            return;
        }
        if context.dispatcher.may_write(connection.node, context.now) {
            return connection.encode_request(context.now, &mut context.timers);
        }
        let attempt = carried.attempt.id;
        connection.carried = None;
        self.attempt_connections.remove(&attempt);
        // The scheduler counts this as a fault of the node, like a connection that was refused.
        context.abort_attempt(attempt, AbortCause::DrainGuard);
    }
}

/// Whether a request can use a connection that was idle for `idle_for` microseconds. All writes
/// count as non-idempotent here, whatever the idempotency of their class.
fn is_idle_time_allowed(
    idle_for: Micros,
    operation: Operation,
    estimate: IdleTimeoutEstimate,
) -> bool {
    match operation {
        Operation::Write => estimate.allows_non_idempotent(idle_for),
        Operation::Read | Operation::Stat | Operation::List => estimate.allows_idempotent(idle_for),
    }
}
