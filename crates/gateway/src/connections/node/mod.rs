//! Connections to storage nodes, pooled by node.
//!
//! A method that takes a connection by value expects that the caller has taken it out of the table
//! ([`Slab::take`](crate::connections::slab::Slab::take)). The method puts it back or drops it before it
//! returns.

mod closing;
mod connection;
pub mod idle_timeout;
mod open;
mod pool;

pub(crate) use connection::NodeConnection;
pub(crate) use pool::NodeAddress;

use crate::connection_token::ConnectionToken;
use crate::connections::socket::StreamStatus;
use crate::dispatcher::AttemptResult;
use crate::event_loop::{Connection, Context};
use crate::node_protocol::ProtocolError;
use crate::timer_queue::AttemptId;
use connection::MAX_BUFFERED_INPUT_BYTES;
use io_scheduler::{NodeId, Outcome};
use pool::ConnectionPool;
use std::collections::HashMap;

/// Bytes of an invalid response that the log shows.
const MAX_LOGGED_BYTES: usize = 80;

/// The state of all connections to nodes together.
pub(crate) struct NodeConnections {
    /// The pools of the listed nodes, and of removed nodes that still have open connections.
    pools: HashMap<NodeId, ConnectionPool>,
    /// The token of the connection that carries an attempt.
    attempt_connections: HashMap<AttemptId, ConnectionToken>,
    /// Number of open connections.
    count: usize,
    /// How many connections may be open at once.
    max_count: usize,
    /// Bytes of large responses that are being received; see
    /// [`crate::memory_budget::MemoryBudget::large_response_bytes`].
    large_response_bytes: usize,
}

impl NodeConnections {
    /// Without nodes at first; at most `max_count` connections are open at once.
    pub(crate) fn new(max_count: usize) -> NodeConnections {
        NodeConnections {
            pools: HashMap::new(),
            attempt_connections: HashMap::new(),
            count: 0,
            max_count,
            large_response_bytes: 0,
        }
    }

    /// Number of open connections.
    pub(crate) fn count(&self) -> usize {
        self.count
    }

    /// Sets the address of a node. Idle connections to a previous address are closed; others are closed as
    /// soon as their request has ended.
    pub(crate) fn set_address(
        &mut self,
        node: NodeId,
        address: NodeAddress,
        context: &mut Context,
    ) {
        let settings = &context.config.settings;
        let pool = self
            .pools
            .entry(node)
            .or_insert_with(|| ConnectionPool::new(settings));
        if pool
            .address
            .replace(address)
            .is_some_and(|previous| previous != address)
        {
            for token in std::mem::take(&mut pool.idle) {
                self.close_idle_connection(token, context);
            }
        }
    }

    /// Closes the idle connections to nodes that are no longer listed, and removes their pools.
    pub(crate) fn remove_unlisted(&mut self, context: &mut Context) {
        let nodes = self.pools.keys().copied();
        let unlisted: Vec<NodeId> = nodes
            .filter(|node| !context.dispatcher.knows_node(*node))
            .collect();
        for node in unlisted {
            let idle = self
                .pools
                .get_mut(&node)
                .map(|pool| std::mem::take(&mut pool.idle));
            for token in idle.unwrap_or_default() {
                self.close_idle_connection(token, context);
            }
            self.remove_pool_if_unused(node, context);
        }
    }

    /// Removes the pool of a node that is no longer listed once it has no connection left.
    fn remove_pool_if_unused(&mut self, node: NodeId, context: &Context) {
        let is_empty = self.pools.get(&node).is_some_and(|pool| pool.count == 0);
        if is_empty && !context.dispatcher.knows_node(node) {
            self.pools.remove(&node);
        }
    }

    /// Stops an attempt whose result is no longer awaited. Its connection is closed, which cancels the
    /// request at the node. If the request has not been encoded yet, the connection is returned to its pool
    /// instead.
    pub(crate) fn abandon_attempt(&mut self, attempt: AttemptId, context: &mut Context) {
        let Some(token) = self.attempt_connections.remove(&attempt) else {
            return;
        };
        let Some(Connection::Node(mut connection)) = context.connections.take(token) else {
            return;
        };
        let in_flight = connection.in_flight.take();
        if in_flight.is_some_and(|in_flight| !in_flight.is_encoded()) {
            self.advance(token, connection, context);
        } else {
            self.drop_connection(token, connection, context);
        }
    }

    /// Handles the timer of a connection: it was not established in time or has reached its idle timeout.
    pub(crate) fn handle_timeout(
        &mut self,
        token: ConnectionToken,
        mut connection: NodeConnection,
        context: &mut Context,
    ) {
        connection.timer_deadline = None;
        self.fail_connection(token, connection, Outcome::Reset, context);
    }

    /// Handles a connection that the poller reported.
    pub(crate) fn handle_ready(
        &mut self,
        token: ConnectionToken,
        mut connection: NodeConnection,
        context: &mut Context,
    ) {
        match connection.finish_connecting() {
            Ok(true) => {}
            Ok(false) => return context.connections.put(token, Connection::Node(connection)),
            Err(_) => return self.fail_connection(token, connection, Outcome::Reset, context),
        }
        let max_buffered = MAX_BUFFERED_INPUT_BYTES + connection.counted_large_response_bytes.get();
        let Ok(status) = connection.socket.read_available(max_buffered) else {
            return self.fail_connection(token, connection, Outcome::Reset, context);
        };
        match self.decode(&mut connection, context) {
            // The node is reachable, so an invalid response counts as an error response, not as a lost
            // connection.
            Err(error) => {
                log_invalid_response(&connection, error);
                return self.fail_connection(token, connection, Outcome::Error, context);
            }
            Ok(Some(result)) => {
                self.complete_attempt(&mut connection, result, context);
                if !connection.is_reusable() {
                    return self.drop_connection(token, connection, context);
                }
                // Consuming nothing has an effect here: it shrinks the empty input buffer after a large
                // response.
                connection.socket.consume(0);
            }
            Ok(None) => {}
        }
        if status == StreamStatus::Ended {
            return self.fail_connection(token, connection, Outcome::Reset, context);
        }
        self.advance(token, connection, context);
    }

    /// Decodes the buffered input. Returns the result of the attempt once its response is complete, and an
    /// error for an invalid response or when all large responses together exceed their memory budget.
    fn decode(
        &mut self,
        connection: &mut NodeConnection,
        context: &Context,
    ) -> Result<Option<AttemptResult>, ProtocolError> {
        let mut output = Vec::new();
        let mut result = if connection.socket.input.is_empty() {
            Ok(None)
        } else {
            connection
                .protocol
                .decode(&mut connection.socket.input, &mut output)
        };
        // The first part of each response, half an input buffer, is not counted against the budget.
        let buffered = connection.protocol.buffered_bytes();
        let large_bytes = buffered.saturating_sub(MAX_BUFFERED_INPUT_BYTES / 2);
        connection
            .counted_large_response_bytes
            .set(large_bytes, &mut self.large_response_bytes);
        if self.large_response_bytes > context.config.budget.large_response_bytes {
            log::warn!(
                "node {}: no memory for a response of {buffered} bytes",
                connection.node.0
            );
            result = Err(ProtocolError::ReplyTooLong);
        }
        connection.socket.output().append(&mut output);
        result
    }

    /// Reports the result of the attempt in flight, whose response is complete, to the dispatcher.
    fn complete_attempt(
        &mut self,
        connection: &mut NodeConnection,
        result: AttemptResult,
        context: &mut Context,
    ) {
        let Some(in_flight) = connection.in_flight.take() else {
            return;
        };
        self.attempt_connections.remove(&in_flight.attempt);
        context.dispatcher.mark_written(in_flight.attempt);
        context.complete_attempt(in_flight.attempt, result);
        if let Some(pool) = self.pools.get_mut(&connection.node) {
            pool.idle_timeout_estimate
                .record_response(connection.idle_before_request);
        }
    }

    /// Takes the next steps on a connection: encodes the request in flight if the connection is ready, writes
    /// pending output, and returns the connection to its pool if it carries no request.
    fn advance(
        &mut self,
        token: ConnectionToken,
        mut connection: NodeConnection,
        context: &mut Context,
    ) {
        if connection.is_ready() {
            self.write_request(token, &mut connection, context);
        }
        let flushed = if connection.is_connected {
            connection.socket.flush()
        } else {
            Ok(())
        };
        connection.mark_written(context);
        let interest = connection.interest();
        let result = flushed.and_then(|()| {
            connection
                .socket
                .set_interest(&context.poller, token, interest)
        });
        if result.is_err() {
            return self.fail_connection(token, connection, Outcome::Reset, context);
        }
        if connection.in_flight.is_some() {
            return context.connections.put(token, Connection::Node(connection));
        }
        self.return_to_pool(token, connection, context);
    }

    /// Encodes the request in flight, once. If the node has been draining for too long to start writing to
    /// it, the attempt is aborted instead and the connection is left without a request.
    fn write_request(
        &mut self,
        token: ConnectionToken,
        connection: &mut NodeConnection,
        context: &mut Context,
    ) {
        let Some(in_flight) = &connection.in_flight else {
            return;
        };
        if in_flight.is_encoded() {
            return;
        }
        if context.dispatcher.may_write(connection.node, context.now) {
            return connection.encode_request(token, context);
        }
        let attempt = in_flight.attempt;
        connection.in_flight = None;
        self.attempt_connections.remove(&attempt);
        context.abort_attempt(attempt, Outcome::ConnectFailed);
    }
}

/// Logs why the input could not be decoded, and its first bytes.
fn log_invalid_response(connection: &NodeConnection, error: ProtocolError) {
    let input = &connection.socket.input;
    let head = &input[..input.len().min(MAX_LOGGED_BYTES)];
    log::debug!(
        "node {}: invalid response: {error}: {}",
        connection.node.0,
        head.escape_ascii()
    );
}
