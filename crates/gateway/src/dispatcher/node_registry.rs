//! The storage nodes of the endpoint list: their ids, their state and the drain guard.
//!
//! The drain guard decides until when an attempt may start to be written to a node that is out of
//! service: until shortly before the end of the drain grace, counted from the first list that
//! shows it.

use super::node_state::NodeState;
use crate::endpoint::EndpointRecord;
use io_scheduler::{Endpoint, EndpointListEvent, EndpointStatus, Micros, NodeId, Units, Zone};
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// No attempt is written to a draining node in the last part of its drain grace, as it would reach
/// the node too late. That part is this long, in microseconds.
const DRAIN_SAFETY_MARGIN: Micros = 30_000;
/// That part is at most the drain grace divided by this.
const SAFETY_MARGIN_DIVISOR: Micros = 2;

/// The nodes of the endpoint list, and removed ones with attempts in flight.
#[derive(Debug)]
pub(super) struct NodeRegistry {
    /// The nodes by id.
    nodes: BTreeMap<NodeId, NodeState>,
    /// The ids of `nodes` by the name of the node.
    ids_by_name: HashMap<String, NodeId>,
    /// Number of the next node id; ids are not used again.
    next_id: u64,
    /// Names of the zones; a zone's number is its position.
    zones: Vec<String>,
    /// How long a node still serves after an endpoint list has taken it out of service.
    drain_grace: Micros,
}

impl NodeRegistry {
    /// No nodes at first; `zones` are the zones that the settings name.
    pub(super) fn new(zones: Vec<String>, drain_grace: Micros) -> NodeRegistry {
        NodeRegistry {
            nodes: BTreeMap::new(),
            ids_by_name: HashMap::new(),
            next_id: 0,
            zones,
            drain_grace,
        }
    }

    /// The id of a node. A node that is not known yet is added.
    pub(super) fn id_or_insert(&mut self, name: &str) -> NodeId {
        if let Some(id) = self.ids_by_name.get(name) {
            return *id;
        }
        let id = NodeId(self.next_id);
        self.next_id += 1;
        self.nodes.insert(id, NodeState::unlisted(name));
        self.ids_by_name.insert(name.to_owned(), id);
        id
    }

    /// All nodes, by id.
    pub(super) fn iter(&self) -> impl Iterator<Item = &NodeState> {
        self.nodes.values()
    }

    /// Whether a node is listed, or removed with attempts in flight.
    pub(super) fn contains(&self, node: NodeId) -> bool {
        self.nodes.contains_key(&node)
    }

    /// Whether any node is in service.
    pub(super) fn has_in_service(&self) -> bool {
        self.nodes
            .values()
            .any(|node| node.status == EndpointStatus::InService)
    }

    /// Whether an attempt may start to be written to a node at the time `now`.
    pub(super) fn may_write(&self, node: NodeId, now: Micros) -> bool {
        self.nodes
            .get(&node)
            .is_some_and(|node| node.may_write(now))
    }

    /// Applies an endpoint list or a delta, and returns its records in the scheduler's form.
    pub(super) fn apply(
        &mut self,
        kind: EndpointListEvent,
        records: &[EndpointRecord],
        now: Micros,
    ) -> Vec<Endpoint> {
        let endpoints: Vec<Endpoint> = records
            .iter()
            .map(|record| self.apply_record(record))
            .collect();
        match kind {
            EndpointListEvent::Snapshot | EndpointListEvent::Cached => {
                self.mark_unlisted_as_removed(&endpoints);
            }
            EndpointListEvent::Delta
            | EndpointListEvent::PollFailed
            | EndpointListEvent::WatchLost => {}
        }
        self.update_write_deadlines(now);
        self.forget_obsolete();
        endpoints
    }

    /// Counts an attempt that starts at a node.
    pub(super) fn attempt_started(&mut self, node: NodeId) {
        if let Some(node) = self.nodes.get_mut(&node) {
            node.attempts_in_flight += 1;
        }
    }

    /// Counts an attempt that ended at a node, with the units of service that the node has served
    /// for it.
    pub(super) fn attempt_completed(&mut self, id: NodeId, served_units: Units) {
        let Some(node) = self.nodes.get_mut(&id) else {
            return;
        };
        node.attempts_in_flight = node.attempts_in_flight.saturating_sub(1);
        node.units += served_units;
        if node.is_obsolete() {
            self.ids_by_name.remove(&node.name);
            self.nodes.remove(&id);
        }
    }

    /// Applies a record and returns it in the scheduler's form.
    fn apply_record(&mut self, record: &EndpointRecord) -> Endpoint {
        let zone = self.zone_number(&record.zone);
        let id = self.id_or_insert(&record.name);
        if let Some(node) = self.nodes.get_mut(&id) {
            node.shard = record.shard;
            node.status = record.status;
        }
        Endpoint {
            node: id,
            zone,
            shard: record.shard,
            status: record.status,
            started_at: record.started_at,
        }
    }

    /// The number of a zone; a zone that no settings or record have named yet gets the next
    /// number.
    fn zone_number(&mut self, name: &str) -> Zone {
        let known_position = self.zones.iter().position(|zone| zone == name);
        let position = match known_position {
            Some(position) => position,
            None => {
                self.zones.push(name.to_owned());
                self.zones.len() - 1
            }
        };
        Zone(position as u64)
    }

    /// Sets the status of all nodes that a complete endpoint list does not name.
    fn mark_unlisted_as_removed(&mut self, endpoints: &[Endpoint]) {
        let listed: BTreeSet<NodeId> = endpoints.iter().map(|endpoint| endpoint.node).collect();
        for (id, node) in &mut self.nodes {
            if !listed.contains(id) {
                node.status = EndpointStatus::Removed;
            }
        }
    }

    /// Applies the drain guard to all nodes.
    fn update_write_deadlines(&mut self, now: Micros) {
        let margin = DRAIN_SAFETY_MARGIN.min(self.drain_grace / SAFETY_MARGIN_DIVISOR);
        let deadline = now + self.drain_grace - margin;
        for node in self.nodes.values_mut() {
            node.update_write_deadline(deadline);
        }
    }

    /// Removes nodes that can be forgotten. The registry would grow without bound otherwise, as
    /// nodes that replace others may have new names.
    fn forget_obsolete(&mut self) {
        let ids_by_name = &mut self.ids_by_name;
        self.nodes.retain(|_, node| {
            let obsolete = node.is_obsolete();
            if obsolete {
                ids_by_name.remove(&node.name);
            }
            !obsolete
        });
    }
}
