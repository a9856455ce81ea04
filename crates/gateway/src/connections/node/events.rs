//! Event handlers of connections to nodes: the socket is ready, the timer has expired, or a
//! response is complete.

use super::connection::{InFlightAttempt, NodeConnection, MAX_BUFFERED_INPUT_BYTES};
use super::node_connections::NodeConnections;
use crate::connection_token::ConnectionToken;
use crate::connections::socket::StreamStatus;
use crate::context::Context;
use crate::dispatcher::AbortCause;
use crate::node_protocol::ProtocolError;
use crate::storage_request::AttemptResult;

/// Maximum number of bytes of an invalid response that are logged.
const MAX_LOGGED_BYTES: usize = 80;
/// Only the bytes of a response beyond this number, which is half of the maximum input buffer,
/// count against the budget for large responses.
const UNCOUNTED_RESPONSE_BYTES: usize = MAX_BUFFERED_INPUT_BYTES / 2;

impl NodeConnections {
    /// Handles the expiry of a connection's timer: the connection was not established in time, or
    /// it was idle for too long.
    pub(crate) fn handle_timeout(&mut self, token: ConnectionToken, context: &mut Context) {
        let Some(mut connection) = self.take(token) else {
            return;
        };
        connection.timer.mark_expired();
        // The cause applies to the connect timeout only. After an idle timeout there is no attempt
        // to abort.
        self.fail_connection(connection, AbortCause::NoConnection, context);
    }

    /// Handles a connection that the poller has reported.
    pub(crate) fn handle_ready(&mut self, token: ConnectionToken, context: &mut Context) {
        let Some(mut connection) = self.take(token) else {
            return;
        };
        match connection.finish_connecting() {
            Ok(true) => self.receive(connection, context),
            Ok(false) => self.store(connection),
            Err(_) => self.fail_connection(connection, AbortCause::NoConnection, context),
        }
    }

    /// Reads and decodes the available input of a connection. Completes the attempt if its response
    /// is complete, and fails the connection after an error or the end of the stream.
    fn receive(&mut self, mut connection: NodeConnection, context: &mut Context) {
        let Ok(status) = connection.read_available() else {
            return self.fail_connection(connection, AbortCause::ConnectionLost, context);
        };
        match self.decode(&mut connection, context) {
            // The node is reachable, so an invalid response counts as an error response and not as
            // a lost connection.
            Err(error) => {
                log_invalid_response(&connection, error);
                return self.fail_connection(connection, AbortCause::InvalidResponse, context);
            }
            Ok(Some(result)) => {
                self.complete_attempt(&mut connection, result, context);
                if !connection.is_reusable() {
                    log_not_reusable(&connection);
                    return self.drop_connection(connection, context);
                }
                connection.socket.shrink_empty_input();
            }
            Ok(None) => {}
        }
        if status == StreamStatus::Ended {
            return self.fail_connection(connection, AbortCause::ConnectionLost, context);
        }
        self.write_pending(connection, context);
    }

    /// Decodes the buffered input. Returns the result of the attempt once its response is complete.
    /// Returns an error if the response is invalid, or if all large responses together exceed their
    /// memory budget.
    fn decode(
        &mut self,
        connection: &mut NodeConnection,
        context: &Context,
    ) -> Result<Option<AttemptResult>, ProtocolError> {
        let result = connection.decode_input();
        let counted_bytes = connection.protocol.counted_response_bytes();
        let large_bytes = counted_bytes.saturating_sub(UNCOUNTED_RESPONSE_BYTES);
        connection
            .counted_large_response_bytes
            .set(large_bytes, &mut self.large_response_bytes);
        if self.large_response_bytes > context.config.memory_budget.large_response_bytes {
            let node = connection.node.0;
            log::warn!(
                "node {node}: rejecting a response of at least {counted_bytes} bytes: memory \
                 budget for large responses exhausted"
            );
            return Err(ProtocolError::ReplyTooLong);
        }
        result
    }

    /// Reports the result of the attempt, whose response is complete, to the dispatcher.
    fn complete_attempt(
        &mut self,
        connection: &mut NodeConnection,
        result: AttemptResult,
        context: &mut Context,
    ) {
        let Some(in_flight) = connection.in_flight.take() else {
            return;
        };
        log_response(&in_flight, &result, connection.token(), context);
        let attempt = in_flight.attempt.id;
        self.attempt_connections.remove(&attempt);
        context.dispatcher.record_may_have_executed(attempt);
        context.complete_attempt(attempt, result);
        if let Some(pool) = self.pools.get_mut(&connection.node) {
            pool.idle_timeout_estimate
                .record_response(connection.idle_before_request);
        }
    }
}

/// Logs that the response to an attempt is complete, with its connection and the time since the
/// attempt's start.
fn log_response(
    in_flight: &InFlightAttempt,
    result: &AttemptResult,
    token: ConnectionToken,
    context: &Context,
) {
    let attempt = &in_flight.attempt;
    log::debug!(
        "request {}: response {:?} to attempt {} from node {} on connection {}, {} us after its \
         start",
        attempt.request.client_request_id,
        result.outcome,
        attempt.id.number,
        attempt.node.0,
        u64::from(token),
        context.now - in_flight.started_at
    );
}

/// Logs that a connection is closed after a complete response, because the node has closed it or
/// has sent more than the response.
fn log_not_reusable(connection: &NodeConnection) {
    log::debug!(
        "node {}: connection {} is not reusable after a response, closing it",
        connection.node.0,
        u64::from(connection.token())
    );
}

/// Logs why the input could not be decoded, with the first bytes of the input.
fn log_invalid_response(connection: &NodeConnection, error: ProtocolError) {
    let input = &connection.socket.input;
    let head = &input[..input.len().min(MAX_LOGGED_BYTES)];
    log::debug!(
        "node {}: invalid response: {error}; first bytes: {}",
        connection.node.0,
        head.escape_ascii()
    );
}
