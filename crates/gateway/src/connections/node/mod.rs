//! Connections to storage nodes, pooled by node.
//!
//! A method that is given a connection by value has taken it out of the table. It ends by storing it again or
//! by dropping it.

mod closing;
mod connection;
pub mod idle_timeout;
mod open;
mod pool;

pub(crate) use connection::NodeConnection;
pub(crate) use pool::NodeAddress;

use crate::connections::socket::StreamStatus;
use crate::connections::ConnectionToken;
use crate::dispatcher::AttemptResult;
use crate::event_loop::{Connection, Context};
use crate::node_protocol::ProtocolError;
use crate::timer_queue::AttemptId;
use connection::MAX_BUFFERED_INPUT;
use io_scheduler::{NodeId, Outcome};
use pool::ConnectionPool;
use std::collections::HashMap;

/// Bytes of an invalid response that the log shows.
const MAX_LOGGED_BYTES: usize = 80;

/// The state of all connections to nodes together.
pub(crate) struct NodeConnections {
    pools: HashMap<NodeId, ConnectionPool>,
    /// The token of the connection that carries an attempt.
    attempt_connections: HashMap<AttemptId, ConnectionToken>,
    /// Open connections.
    count: usize,
    /// How many connections may be open.
    max_count: usize,
    /// Bytes of large responses that are being received.
    large_response_bytes: usize,
}

impl NodeConnections {
    /// No nodes yet; at most `max_count` connections will be open.
    pub(crate) fn new(max_count: usize) -> NodeConnections {
        NodeConnections {
            pools: HashMap::new(),
            attempt_connections: HashMap::new(),
            count: 0,
            max_count,
            large_response_bytes: 0,
        }
    }

    /// Open connections.
    pub(crate) fn count(&self) -> usize {
        self.count
    }

    /// Sets where a node listens from now on. Connections to its previous address carry no new request.
    pub(crate) fn set_address(&mut self, node: NodeId, address: NodeAddress, context: &mut Context) {
        let settings = &context.config.settings;
        let pool = self.pools.entry(node).or_insert_with(|| ConnectionPool::new(settings));
        if pool.address.replace(address).is_some_and(|previous| previous != address) {
            for token in std::mem::take(&mut pool.idle) {
                self.close_token(token, context);
            }
        }
    }

    /// Closes the idle connections to nodes that are no longer listed, and removes their pools.
    pub(crate) fn remove_unlisted(&mut self, context: &mut Context) {
        let nodes = self.pools.keys().copied();
        let unlisted: Vec<NodeId> = nodes.filter(|node| !context.dispatcher.knows_node(*node)).collect();
        for node in unlisted {
            let idle = self.pools.get_mut(&node).map(|pool| std::mem::take(&mut pool.idle));
            for token in idle.unwrap_or_default() {
                self.close_token(token, context);
            }
            self.remove_pool_if_unused(node, context);
        }
    }

    fn remove_pool_if_unused(&mut self, node: NodeId, context: &Context) {
        let is_empty = self.pools.get(&node).is_some_and(|pool| pool.count == 0);
        if is_empty && !context.dispatcher.knows_node(node) {
            self.pools.remove(&node);
        }
    }

    /// Gives up an attempt: its connection is closed, which tells the node. A connection to which no byte of
    /// the request was written is kept for the next one.
    pub(crate) fn abandon_attempt(&mut self, attempt: AttemptId, context: &mut Context) {
        let Some(token) = self.attempt_connections.remove(&attempt) else { return };
        let Some(Connection::Node(mut connection)) = context.connections.take(token) else { return };
        let in_flight = connection.in_flight.take();
        if in_flight.is_some_and(|in_flight| in_flight.may_run_after.is_none()) {
            self.advance(token, connection, context);
        } else {
            self.drop_connection(token, connection, context);
        }
    }

    /// Handles the timer of a connection: it was not established in time, or has been idle for long enough.
    pub(crate) fn handle_timeout(
        &mut self,
        token: ConnectionToken,
        mut connection: NodeConnection,
        context: &mut Context,
    ) {
        connection.deadline = None;
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
        let max_buffered = MAX_BUFFERED_INPUT + connection.counted_large_response_bytes;
        let Ok(status) = connection.socket.read_available(max_buffered) else {
            return self.fail_connection(token, connection, Outcome::Reset, context);
        };
        match self.decode(&mut connection, context) {
            // An invalid response is the node's own error: the node is reachable.
            Err(ProtocolError) => {
                log_invalid_response(&connection);
                return self.fail_connection(token, connection, Outcome::Error, context);
            }
            Ok(Some(result)) => {
                self.complete_attempt(&mut connection, result, context);
                if !connection.is_quiet() {
                    return self.drop_connection(token, connection, context);
                }
                // Releases the memory of a large response.
                connection.socket.consume(0);
            }
            Ok(None) => {}
        }
        if status == StreamStatus::Ended {
            return self.fail_connection(token, connection, Outcome::Reset, context);
        }
        self.advance(token, connection, context);
    }

    /// Decodes what has arrived; the result of the attempt if its response is complete. It is an error, too,
    /// if large responses together exceed their budget.
    fn decode(
        &mut self,
        connection: &mut NodeConnection,
        context: &Context,
    ) -> Result<Option<AttemptResult>, ProtocolError> {
        let mut output = Vec::new();
        let mut result = if connection.socket.input.is_empty() {
            Ok(None)
        } else {
            connection.protocol.decode(&mut connection.socket.input, &mut output)
        };
        // Memory for ordinary responses is always there; large ones share a budget.
        let buffered = connection.protocol.buffered_bytes();
        let large = buffered.saturating_sub(MAX_BUFFERED_INPUT / 2);
        self.large_response_bytes =
            self.large_response_bytes - connection.counted_large_response_bytes + large;
        connection.counted_large_response_bytes = large;
        if self.large_response_bytes > context.config.budget.large_response_bytes {
            log::warn!("node {}: no memory for a response of {buffered} bytes", connection.node.0);
            result = Err(ProtocolError);
        }
        connection.socket.output().append(&mut output);
        result
    }

    /// The response to the attempt in flight is complete.
    fn complete_attempt(
        &mut self,
        connection: &mut NodeConnection,
        result: AttemptResult,
        context: &mut Context,
    ) {
        let Some(in_flight) = connection.in_flight.take() else { return };
        self.attempt_connections.remove(&in_flight.attempt);
        context.dispatcher.mark_written(in_flight.attempt);
        context.complete_attempt(in_flight.attempt, result);
        if let Some(pool) = self.pools.get_mut(&connection.node) {
            pool.idle_timeout.record_response(connection.idle_before_request);
        }
    }

    /// Writes the request of a connection once that is possible, and returns the connection to its pool if it
    /// has none.
    fn advance(&mut self, token: ConnectionToken, mut connection: NodeConnection, context: &mut Context) {
        if connection.is_ready() {
            self.write_request(token, &mut connection, context);
        }
        let flushed = if connection.is_connected { connection.socket.flush() } else { Ok(()) };
        connection.report_written(context);
        let interest = connection.interest();
        let result = flushed.and_then(|()| connection.socket.set_interest(&context.poller, token, interest));
        if result.is_err() {
            return self.fail_connection(token, connection, Outcome::Reset, context);
        }
        if connection.in_flight.is_some() {
            return context.connections.put(token, Connection::Node(connection));
        }
        self.return_to_pool(token, connection, context);
    }

    /// Encodes the request in flight if that has not been done. If the node may get no new request by now,
    /// the attempt fails instead.
    fn write_request(
        &mut self,
        token: ConnectionToken,
        connection: &mut NodeConnection,
        context: &mut Context,
    ) {
        let Some(in_flight) = &connection.in_flight else { return };
        if in_flight.may_run_after.is_some() {
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

fn log_invalid_response(connection: &NodeConnection) {
    let input = &connection.socket.input;
    let head = &input[..input.len().min(MAX_LOGGED_BYTES)];
    log::debug!("node {}: invalid response: {}", connection.node.0, head.escape_ascii());
}
