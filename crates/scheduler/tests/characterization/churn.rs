//! Changes of the cluster during a run: nodes drain, are removed, restart, are replaced, change
//! zone or become faulty, and faulty nodes recover.

use crate::cluster::{NodeFault, Nodes, SimulatedNode};
use crate::rng::Rng;
use crate::types::{EndpointEntry, Micros, NodeStatus, MILLISECOND, SECOND};

/// How often and how the nodes of the cluster change.
#[derive(Clone)]
pub struct Churn {
    /// Mean time between two changes of the membership; 0 for no changes.
    pub mean_membership_interval: Micros,
    /// Mean time between two faults; 0 for no faults.
    pub mean_fault_interval: Micros,
    /// Faults, one of which is chosen each time.
    pub faults: &'static [NodeFault],
    /// Number of faults per thousand that affect all nodes in service.
    pub all_nodes_per_mille: u64,
}

/// A later change that completes or reverts an earlier one.
#[derive(Clone, Copy)]
pub enum FollowUp {
    /// Removes a node that has drained or that shares its shard with another one.
    Remove(u64),
    /// Adds a node, whose id may be new or that of a removed node.
    Add(SimulatedNode),
    /// Makes a node healthy again.
    Recover(u64),
}

/// Effect of a change: the entries that it changed, and the later changes that it causes.
#[derive(Default)]
pub struct ClusterChange {
    /// Entries of the endpoint list that changed.
    pub entries: Vec<EndpointEntry>,
    /// Follow-up changes, each with the time until it.
    pub follow_ups: Vec<(Micros, FollowUp)>,
}

impl ClusterChange {
    /// Creates a change of one entry.
    fn of_entry(entry: EndpointEntry) -> Self {
        ClusterChange {
            entries: vec![entry],
            follow_ups: Vec::new(),
        }
    }
}

/// Returns the ids of the nodes in service.
fn in_service(nodes: &Nodes) -> Vec<u64> {
    let in_service = |node: &&SimulatedNode| node.entry.status == NodeStatus::InService;
    nodes
        .values()
        .filter(in_service)
        .map(|node| node.entry.node)
        .collect()
}

/// Returns an id that no node has had yet.
fn unused_id(nodes: &Nodes) -> u64 {
    nodes.keys().next_back().map_or(0, |id| id + 1)
}

/// Applies a random change of membership.
pub fn change_membership(nodes: &mut Nodes, now: Micros, rng: &mut Rng) -> ClusterChange {
    let candidates = in_service(nodes);
    if candidates.is_empty() {
        return ClusterChange::default();
    }
    let id = rng.choose(&candidates);
    let new_id = unused_id(nodes);
    let EndpointEntry { zone, shard, .. } = nodes[&id].entry;
    // Clocks of nodes and hosts differ, so a start time may lie in the future.
    let clock_skew = rng.choose(&[0, 0, -400 * MILLISECOND, 100 * MILLISECOND]);
    let started_at = rng.chance_per_mille(700).then_some(now + clock_skew);
    let successor = SimulatedNode::new(new_id, zone, shard, started_at);
    let delay = rng.in_range(20 * MILLISECOND, 3 * SECOND);
    match rng.below(9) {
        0 | 1 => drain_and_replace(nodes, id, successor, delay, rng.chance_per_mille(500)),
        2 => remove_and_replace(nodes, id, successor, delay),
        3 => remove_and_replace(nodes, id, successor, 0),
        4 => ClusterChange::of_entry(add_node(
            nodes,
            SimulatedNode::new(id, zone, shard, Some(now)),
        )),
        5 => {
            let started_at = nodes[&id].entry.started_at;
            ClusterChange::of_entry(add_node(
                nodes,
                SimulatedNode::new(id, zone + 1, shard, started_at),
            ))
        }
        6 => add_second_node(nodes, successor, rng.choose(&[id, new_id]), delay),
        7 => remove_and_replace(
            nodes,
            id,
            SimulatedNode::new(id, zone, shard, started_at),
            delay,
        ),
        _ => ClusterChange::of_entry(add_node(nodes, SimulatedNode::new(id, zone, shard, None))),
    }
}

/// Drains a node and removes it after `delay`. Its successor is added at once if
/// `successor_joins_first`, else 200 ms after the removal.
fn drain_and_replace(
    nodes: &mut Nodes,
    id: u64,
    successor: SimulatedNode,
    delay: Micros,
    successor_joins_first: bool,
) -> ClusterChange {
    let mut change = ClusterChange::of_entry(set_status(nodes, id, NodeStatus::Draining));
    change.follow_ups.push((delay, FollowUp::Remove(id)));
    if successor_joins_first {
        change.entries.push(add_node(nodes, successor));
    } else {
        change
            .follow_ups
            .push((delay + 200 * MILLISECOND, FollowUp::Add(successor)));
    }
    change
}

/// Removes a node and adds its successor after `delay`.
fn remove_and_replace(
    nodes: &mut Nodes,
    id: u64,
    successor: SimulatedNode,
    delay: Micros,
) -> ClusterChange {
    let mut change = ClusterChange::of_entry(set_status(nodes, id, NodeStatus::Removed));
    if delay > 0 {
        change.follow_ups.push((delay, FollowUp::Add(successor)));
    } else {
        change.entries.push(add_node(nodes, successor));
    }
    change
}

/// Adds a second node for a shard and removes one of the two after `delay`.
fn add_second_node(
    nodes: &mut Nodes,
    successor: SimulatedNode,
    removed_later: u64,
    delay: Micros,
) -> ClusterChange {
    let mut change = ClusterChange::of_entry(add_node(nodes, successor));
    change
        .follow_ups
        .push((delay, FollowUp::Remove(removed_later)));
    change
}

/// Gives one node, or all nodes in service, a random fault until they recover.
pub fn inject_fault(nodes: &mut Nodes, churn: &Churn, rng: &mut Rng) -> ClusterChange {
    let mut ids = in_service(nodes);
    let affects_all_nodes = rng.chance_per_mille(churn.all_nodes_per_mille);
    let mut change = ClusterChange::default();
    if ids.is_empty() {
        return change;
    }
    if !affects_all_nodes {
        ids = vec![rng.choose(&ids)];
    }
    let fault = rng.choose(churn.faults);
    let duration = rng.in_range(100 * MILLISECOND, 5 * SECOND);
    for id in ids {
        if let Some(node) = nodes.get_mut(&id) {
            node.fault = fault;
        }
        change.follow_ups.push((duration, FollowUp::Recover(id)));
    }
    change
}

/// Applies a follow-up change.
pub fn apply_follow_up(nodes: &mut Nodes, follow_up: FollowUp, now: Micros) -> ClusterChange {
    let mut change = ClusterChange::default();
    match follow_up {
        FollowUp::Remove(id) => change
            .entries
            .push(set_status(nodes, id, NodeStatus::Removed)),
        FollowUp::Add(mut node) => {
            // A node with the same id may have been added in the meantime.
            let existing = nodes.get(&node.entry.node);
            if existing.is_some_and(|existing| existing.entry.status != NodeStatus::Removed) {
                node.entry.node = unused_id(nodes);
            }
            node.entry.started_at = node.entry.started_at.map(|_| now);
            change.entries.push(add_node(nodes, node));
        }
        FollowUp::Recover(id) => {
            if let Some(node) = nodes.get_mut(&id) {
                node.fault = NodeFault::None;
            }
        }
    }
    change
}

/// Sets the status of a node and returns its entry.
fn set_status(nodes: &mut Nodes, id: u64, status: NodeStatus) -> EndpointEntry {
    let node = nodes.get_mut(&id).expect("removed nodes stay in the map");
    node.entry.status = status;
    node.entry
}

/// Adds or replaces a node and returns its entry. Attempts in flight at a node with the same id are
/// kept.
fn add_node(nodes: &mut Nodes, node: SimulatedNode) -> EndpointEntry {
    let attempts_in_flight = nodes
        .get(&node.entry.node)
        .map_or(0, |existing| existing.attempts_in_flight);
    let entry = node.entry;
    nodes.insert(
        entry.node,
        SimulatedNode {
            attempts_in_flight,
            ..node
        },
    );
    entry
}
