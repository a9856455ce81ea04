//! The nodes that the endpoint list names, and which of them serves each shard.
//!
//! Inputs: complete endpoint lists and changes to them. Decided: the node of a shard, among several
//! in service the one that started last; and when a removed node is forgotten, which is once it has
//! no attempts in flight, as new nodes come with new ids.

use crate::api::{Endpoint, EndpointListEvent, NodeId, Shard};
use crate::node::Node;
use std::collections::{BTreeMap, BTreeSet};

/// Nodes listed, and those removed with attempts still in flight.
#[derive(Default)]
pub struct NodeTable {
    /// The nodes by id.
    nodes: BTreeMap<NodeId, Node>,
    /// The node in service that holds a shard.
    node_of_shard: BTreeMap<Shard, NodeId>,
}

impl NodeTable {
    /// Updates the nodes by an endpoint list, or by changes to it.
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

    /// Marks the nodes that a complete list does not name as removed.
    fn remove_unlisted(&mut self, endpoints: &[Endpoint]) {
        let listed: BTreeSet<NodeId> = endpoints.iter().map(|endpoint| endpoint.node).collect();
        for (id, node) in &mut self.nodes {
            if !listed.contains(id) {
                node.remove();
            }
        }
    }

    /// Assigns each shard the node in service that started last.
    fn assign_shards(&mut self) {
        let mut endpoints: Vec<&Endpoint> = self.in_service().map(Node::endpoint).collect();
        endpoints.sort_by_key(|endpoint| (endpoint.started_at, endpoint.node));
        self.node_of_shard = endpoints
            .into_iter()
            .map(|endpoint| (endpoint.shard, endpoint.node))
            .collect();
    }

    /// A node by its id.
    pub fn get(&self, id: NodeId) -> Option<&Node> {
        self.nodes.get(&id)
    }

    /// A node by its id, to be changed.
    pub fn get_mut(&mut self, id: NodeId) -> Option<&mut Node> {
        self.nodes.get_mut(&id)
    }

    /// The node in service that holds a shard.
    pub fn node_of(&self, shard: Shard) -> Option<&Node> {
        self.nodes.get(self.node_of_shard.get(&shard)?)
    }

    /// The node in service that holds the same shard as a node, which may have been replaced by it.
    pub fn successor_of(&self, id: NodeId) -> Option<&Node> {
        self.node_of(self.nodes.get(&id)?.endpoint().shard)
    }

    /// The nodes that the endpoint list has in service.
    pub fn in_service(&self) -> impl Iterator<Item = &Node> + Clone {
        self.nodes.values().filter(|node| node.is_in_service())
    }

    /// The shards that a node in service holds, with their nodes.
    pub fn served_shards(&self) -> impl Iterator<Item = (Shard, &Node)> {
        self.node_of_shard
            .iter()
            .filter_map(|(shard, id)| Some((*shard, self.nodes.get(id)?)))
    }

    /// Number of nodes.
    pub fn len(&self) -> usize {
        self.nodes.len()
    }
}
