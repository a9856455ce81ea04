//! Nodes in the endpoint list, and the node that serves each shard.
//!
//! The table is updated from complete endpoint lists and changes to them. If several nodes in
//! service hold the same shard, the node that started last serves it. A removed node is dropped as
//! soon as it has no attempts in flight. New nodes get new ids, so without this the table would
//! grow without bound.

use crate::api::{Endpoint, EndpointListEvent, NodeId, Shard};
use crate::node::Node;
use std::collections::{BTreeMap, BTreeSet};

/// Nodes in the endpoint list, and removed nodes that still have attempts in flight.
#[derive(Default)]
pub struct NodeTable {
    /// Nodes, by id.
    nodes: BTreeMap<NodeId, Node>,
    /// The node in service that holds a shard; of several, the one that started last.
    node_of_shard: BTreeMap<Shard, NodeId>,
}

impl NodeTable {
    /// Updates the table from a complete endpoint list or from changes to it.
    pub fn apply(&mut self, event: EndpointListEvent, endpoints: &[Endpoint]) {
        if event != EndpointListEvent::Delta {
            self.remove_unlisted(endpoints);
        }
        for endpoint in endpoints {
            self.nodes
                .entry(endpoint.node)
                .or_insert_with(|| Node::new(endpoint.clone()))
                .update(endpoint);
        }
        self.nodes.retain(|_, node| !node.is_removed_and_idle());
        self.assign_shards();
    }

    /// Marks the nodes that are not in a complete list as removed.
    fn remove_unlisted(&mut self, endpoints: &[Endpoint]) {
        let listed: BTreeSet<NodeId> = endpoints.iter().map(|endpoint| endpoint.node).collect();
        for (id, node) in &mut self.nodes {
            if !listed.contains(id) {
                node.remove();
            }
        }
    }

    /// Assigns each shard to the node in service that started last.
    fn assign_shards(&mut self) {
        let mut endpoints: Vec<&Endpoint> = self.in_service().map(Node::endpoint).collect();
        endpoints.sort_by_key(|endpoint| (endpoint.started_at, endpoint.node));
        self.node_of_shard = endpoints
            .into_iter()
            .map(|endpoint| (endpoint.shard, endpoint.node))
            .collect();
    }

    /// Returns the node with this id.
    pub fn get(&self, id: NodeId) -> Option<&Node> {
        self.nodes.get(&id)
    }

    /// Returns the node with this id.
    pub fn get_mut(&mut self, id: NodeId) -> Option<&mut Node> {
        self.nodes.get_mut(&id)
    }

    /// Returns the node in service that holds a shard; of several, the one that started last.
    pub fn node_of(&self, shard: Shard) -> Option<&Node> {
        self.nodes.get(self.node_of_shard.get(&shard)?)
    }

    /// Returns the node in service that holds the same shard as the given node: the node itself, or
    /// the one that replaced it.
    pub fn successor_of(&self, id: NodeId) -> Option<&Node> {
        self.node_of(self.nodes.get(&id)?.endpoint().shard)
    }

    /// Returns the nodes that are in service according to the endpoint list.
    pub fn in_service(&self) -> impl Iterator<Item = &Node> + Clone {
        self.nodes.values().filter(|node| node.is_in_service())
    }

    /// Returns the shards that are held by a node in service, with their nodes.
    pub fn served_shards(&self) -> impl Iterator<Item = (Shard, &Node)> {
        self.node_of_shard
            .iter()
            .filter_map(|(shard, id)| Some((*shard, self.nodes.get(id)?)))
    }

    /// Returns the number of nodes.
    pub fn len(&self) -> usize {
        self.nodes.len()
    }
}
