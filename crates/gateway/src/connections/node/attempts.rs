//! Starting and abandoning attempts, and writing their requests.

use super::connection::{AttemptSpec, InFlightAttempt, NodeConnection};
use super::idle_timeout::IdleTimeoutEstimate;
use super::node_connections::NodeConnections;
use super::open::OpenError;
use crate::connection_token::ConnectionToken;
use crate::context::Context;
use crate::dispatcher::AbortCause;
use crate::storage_request::{AttemptId, Operation};
use io_scheduler::{Micros, NodeId};

impl NodeConnections {
    /// Starts an attempt on an idle connection, or on a new one if no idle one is suitable.
    pub(crate) fn start_attempt(&mut self, attempt: AttemptSpec, context: &mut Context) {
        // Skip the attempt if it was aborted earlier in this turn of the event loop, for example
        // because the client has disconnected.
        if !context.dispatcher.awaits_result_of(attempt.id) {
            return;
        }
        let operation = attempt.request.operation;
        let mut connection = match self.acquire_connection(attempt.node, operation, context) {
            Ok(connection) => connection,
            Err(error) => {
                log::debug!("node {}: cannot open a connection: {error}", attempt.node.0);
                return context.abort_attempt(attempt.id, error.abort_cause());
            }
        };
        self.attempt_connections
            .insert(attempt.id, connection.token());
        connection.in_flight = Some(InFlightAttempt::new(attempt, context.now));
        self.write_pending(connection, context);
    }

    /// Returns a connection for a new request: a suitable idle one from the pool, or else a new
    /// one.
    fn acquire_connection(
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

    /// Takes a suitable idle connection out of a node's pool, trying the most recently used one
    /// first.
    ///
    /// Connections that are not reusable, or have been idle for too long for any request, are
    /// closed. A connection that is still being established is not checked: the node has not seen
    /// it yet, so it cannot have closed it.
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
                // The connection stays in the pool for idempotent requests. All others in the pool
                // have been idle for even longer.
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

    /// Puts back a connection that was just taken out of its pool, so that it is used next.
    fn put_back_idle(&mut self, connection: NodeConnection) {
        if let Some(pool) = self.pools.get_mut(&connection.node) {
            pool.idle.push(connection.token());
        }
        self.store(connection);
    }

    /// Frees the connection of an attempt that the dispatcher has already aborted. Reports nothing
    /// to the dispatcher. The connection is closed, which cancels the request at the node. If the
    /// request has not been encoded yet, the connection is returned to its pool instead.
    ///
    /// Does nothing if the attempt was aborted by this module, as in [`Self::fail_connection`]:
    /// such an attempt no longer has a connection.
    pub(crate) fn abandon_attempt(&mut self, attempt: AttemptId, context: &mut Context) {
        let Some(token) = self.attempt_connections.remove(&attempt) else {
            return;
        };
        let Some(mut connection) = self.take(token) else {
            return;
        };
        let in_flight = connection.in_flight.take();
        if in_flight.is_some_and(|in_flight| !in_flight.is_encoded()) {
            self.write_pending(connection, context);
        } else {
            self.drop_connection(connection, context);
        }
    }

    /// Encodes the request of a connection if the connection is ready, writes its pending output,
    /// and returns it to its pool if it has no attempt.
    pub(super) fn write_pending(&mut self, mut connection: NodeConnection, context: &mut Context) {
        if connection.is_ready() && connection.has_unsent_request() {
            if let Err(cause) = check_write(&connection, context) {
                return self.abort_before_write(connection, cause, context);
            }
            encode_request(&mut connection, context);
        }
        let flushed = connection.flush();
        if let Some(attempt) = connection.mark_may_have_executed() {
            context.dispatcher.record_may_have_executed(attempt);
        }
        let interest = connection.interest();
        let result =
            flushed.and_then(|()| connection.socket.set_interest(interest, &context.poller));
        if result.is_err() {
            return self.fail_connection(connection, AbortCause::ConnectionLost, context);
        }
        if connection.in_flight.is_some() {
            return self.store(connection);
        }
        self.return_to_pool(connection, context);
    }

    /// Aborts an attempt of whose request no byte has been sent. The connection is closed if the
    /// request is in its output buffer, and returned to its pool otherwise.
    fn abort_before_write(
        &mut self,
        mut connection: NodeConnection,
        cause: AbortCause,
        context: &mut Context,
    ) {
        let Some(in_flight) = connection.in_flight.take() else {
            return self.store(connection);
        };
        let attempt = in_flight.attempt.id;
        self.attempt_connections.remove(&attempt);
        if in_flight.is_encoded() {
            self.drop_connection(connection, context);
        } else {
            self.write_pending(connection, context);
        }
        // The scheduler counts this as a fault of the node, like a refused connection.
        context.abort_attempt(attempt, cause);
    }
}

/// Returns why the request of a connection's attempt must not be written now, if there is a reason:
/// its node has been draining for too long, the attempt has timed out, or nodes would no longer
/// recognize the request as a duplicate of an earlier attempt. The turn may have been held up, and
/// the connection may have been established late, so the actual time counts.
fn check_write(connection: &NodeConnection, context: &Context) -> Result<(), AbortCause> {
    let Some(in_flight) = &connection.in_flight else {
        return Ok(());
    };
    let now = context.clock_time();
    if !context.dispatcher.may_write(connection.node, now) {
        return Err(AbortCause::WriteDeadlinePassed);
    }
    let limits = &in_flight.attempt.limits;
    if limits.times_out_at <= now {
        return Err(AbortCause::TimedOut);
    }
    if limits.write_before.is_some_and(|limit| limit <= now) {
        return Err(AbortCause::DeduplicationWindowPassed);
    }
    Ok(())
}

/// Encodes the request of a connection's attempt, unless that was done before.
fn encode_request(connection: &mut NodeConnection, context: &mut Context) {
    let Some(in_flight) = &connection.in_flight else {
        return;
    };
    if in_flight.is_encoded() {
        return;
    }
    log_write(in_flight, connection.token(), context);
    let now = context.clock_time();
    connection.encode_request(now, &mut context.timers);
}

/// Logs that the request of an attempt is written now, with its connection, the delay since its
/// dispatch and the time since the turn began.
fn log_write(in_flight: &InFlightAttempt, token: ConnectionToken, context: &Context) {
    if !log::log_enabled!(log::Level::Debug) {
        return;
    }
    let clock_time = context.clock_time();
    let attempt = &in_flight.attempt;
    log::debug!(
        "request {}: writing attempt {} to node {} on connection {}, {} us after its start, {} us \
         into the turn",
        attempt.request.client_request_id,
        attempt.id.number,
        attempt.node.0,
        u64::from(token),
        clock_time - in_flight.started_at,
        clock_time - context.now
    );
}

/// Returns whether a request of this operation may use a connection that was idle for `idle_for`
/// microseconds. All writes count as non-idempotent here, whatever the idempotency of their class.
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
