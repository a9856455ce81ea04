//! Storage of all connections to nodes and of the state that they share.

use super::connection::NodeConnection;
use super::pool::{ConnectionPool, NodeAddress};
use crate::connection_token::ConnectionToken;
use crate::context::Context;
use crate::storage_request::AttemptId;
use io_scheduler::NodeId;
use std::collections::HashMap;

/// All connections to nodes, with their pools, shared limits and totals.
pub(crate) struct NodeConnections {
    /// The connections by token, except the one that is being handled at the moment.
    connections: HashMap<ConnectionToken, NodeConnection>,
    /// The pools of the listed nodes, and of removed nodes that still have open connections.
    pub(super) pools: HashMap<NodeId, ConnectionPool>,
    /// For each attempt in flight, the token of its connection.
    pub(super) attempt_connections: HashMap<AttemptId, ConnectionToken>,
    /// Number of open connections.
    pub(super) count: usize,
    /// Maximum number of open connections.
    pub(super) max_count: usize,
    /// Total bytes of large responses that are being received; see
    /// [`crate::memory_budget::MemoryBudget::large_response_bytes`].
    pub(super) large_response_bytes: usize,
}

impl NodeConnections {
    /// Creates an empty set of connections and pools. At most `max_count` connections are open at
    /// once.
    pub(crate) fn new(max_count: usize) -> NodeConnections {
        NodeConnections {
            connections: HashMap::new(),
            pools: HashMap::new(),
            attempt_connections: HashMap::new(),
            count: 0,
            max_count,
            large_response_bytes: 0,
        }
    }

    /// Returns the number of open connections.
    pub(crate) fn count(&self) -> usize {
        self.count
    }

    /// Removes a connection from the map, so that the caller can handle it.
    pub(super) fn take(&mut self, token: ConnectionToken) -> Option<NodeConnection> {
        self.connections.remove(&token)
    }

    /// Stores a connection after it was handled.
    pub(super) fn store(&mut self, connection: NodeConnection) {
        self.connections.insert(connection.token(), connection);
    }

    /// Sets the address of a node. Idle connections to a previous address are closed at once.
    /// Connections with a request in flight are closed as soon as the request has ended.
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
        let previous = pool.address.replace(address);
        if previous.is_some_and(|previous| previous != address) {
            for token in pool.take_idle_tokens() {
                self.close_idle_connection(token, context);
            }
        }
    }

    /// Closes the idle connections to nodes that are no longer listed, and removes the pools that
    /// are then empty.
    pub(crate) fn remove_unlisted(&mut self, context: &mut Context) {
        let nodes = self.pools.keys().copied();
        let unlisted: Vec<NodeId> = nodes
            .filter(|node| !context.dispatcher.contains_node(*node))
            .collect();
        for node in unlisted {
            let idle = self
                .pools
                .get_mut(&node)
                .map(ConnectionPool::take_idle_tokens);
            for token in idle.unwrap_or_default() {
                self.close_idle_connection(token, context);
            }
            self.remove_pool_if_unused(node, context);
        }
    }

    /// Removes the pool of a node if the node is no longer listed and the pool has no connection
    /// left.
    pub(super) fn remove_pool_if_unused(&mut self, node: NodeId, context: &Context) {
        let is_empty = self.pools.get(&node).is_some_and(|pool| pool.count == 0);
        if is_empty && !context.dispatcher.contains_node(node) {
            self.pools.remove(&node);
        }
    }
}
