//! The nodes of the endpoint list and what is in flight at each of them.

use crate::api::{Endpoint, EndpointListEvent, EndpointStatus, NodeId};
use crate::node_health::NodeHealth;
use std::collections::{BTreeMap, BTreeSet};

/// A node as listed last.
pub struct Node {
    /// Its line of the endpoint list.
    pub endpoint: Endpoint,
    /// Attempts of this host in flight at the node.
    pub in_flight: usize,
    /// Units of those attempts.
    pub in_flight_units: f64,
    /// What its attempts have shown since its process started.
    pub health: NodeHealth,
}

impl Node {
    /// A node listed for the first time.
    pub fn new(endpoint: Endpoint) -> Self {
        Node { endpoint, in_flight: 0, in_flight_units: 0.0, health: NodeHealth::new() }
    }

    /// Whether the list has it in service.
    pub fn is_in_service(&self) -> bool {
        self.endpoint.status == EndpointStatus::InService
    }

    /// Counts an attempt as in flight.
    pub fn add_attempt(&mut self, units: f64) {
        self.in_flight += 1;
        self.in_flight_units += units;
    }

    /// Counts an attempt as completed.
    pub fn remove_attempt(&mut self, units: f64) {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.in_flight_units -= units;
    }
}

/// All nodes listed, and those removed with attempts still in flight.
#[derive(Default)]
pub struct NodeTable {
    nodes: BTreeMap<NodeId, Node>,
}

impl NodeTable {
    /// Number of nodes.
    pub fn len(&self) -> usize {
        self.nodes.len()
    }

    /// A node.
    pub fn get(&self, id: NodeId) -> Option<&Node> {
        self.nodes.get(&id)
    }

    /// A node, to change it.
    pub fn get_mut(&mut self, id: NodeId) -> Option<&mut Node> {
        self.nodes.get_mut(&id)
    }

    /// The nodes that the list has in service.
    pub fn in_service(&self) -> impl Iterator<Item = &Node> + Clone {
        self.nodes.values().filter(|node| node.is_in_service())
    }

    /// Takes in the endpoint list, or changes to it.
    pub fn update(&mut self, event: EndpointListEvent, endpoints: &[Endpoint]) {
        if event != EndpointListEvent::Delta {
            let listed: BTreeSet<NodeId> = endpoints.iter().map(|endpoint| endpoint.node).collect();
            for (_, node) in self.nodes.iter_mut().filter(|(id, _)| !listed.contains(id)) {
                node.endpoint.status = EndpointStatus::Removed;
            }
        }
        for endpoint in endpoints {
            let node = self.nodes.entry(endpoint.node).or_insert_with(|| Node::new(endpoint.clone()));
            // What was known of a process says nothing of the one that was started after it.
            if endpoint.started_at.is_some() && endpoint.started_at != node.endpoint.started_at {
                node.health = NodeHealth::new();
            }
            node.endpoint = endpoint.clone();
        }
        // With ever new ids, removed nodes would pile up; attempts in flight are waited for.
        self.nodes.retain(|_, node| node.endpoint.status != EndpointStatus::Removed || node.in_flight > 0);
    }
}
