//! The storage nodes of the endpoint list: their ids, their state and their write deadlines.
//!
//! A node that goes out of service gets a write deadline: the gateway must not start to write an
//! attempt to the node at or after this time. The deadline is before the end of the drain grace
//! period, in which the gateway may still send requests to the node. The period starts when
//! discovery sends the first endpoint list that shows the node out of service.

use super::node_state::NodeState;
use crate::endpoint::EndpointRecord;
use io_scheduler::{Endpoint, EndpointListEvent, EndpointStatus, Micros, NodeId, Units, Zone};
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// How long the process may be held up at any point, in microseconds.
const MAX_HOLD: Micros = 150_000;
/// The write deadline of a draining node is this long before the end of its drain grace period, in
/// microseconds: the process may be held up before it handles the endpoint list, and again between
/// the check of the write deadline and the write.
const DRAIN_SAFETY_MARGIN: Micros = 2 * MAX_HOLD;

/// The listed nodes, and removed nodes with attempts in flight.
#[derive(Debug)]
pub(super) struct NodeRegistry {
    /// The nodes by id.
    nodes: BTreeMap<NodeId, NodeState>,
    /// The ids of `nodes` by the name of the node.
    ids_by_name: HashMap<String, NodeId>,
    /// Number of the next node id; ids are never reused.
    next_id: u64,
    /// Zone names; the position of a name is the number of the zone.
    zones: Vec<String>,
    /// Length of the drain grace period in microseconds: how long after an endpoint list first
    /// shows a node out of service the gateway may still send it requests.
    drain_grace: Micros,
}

impl NodeRegistry {
    /// Creates a registry without nodes. `zones` are the zones that the settings name.
    pub(super) fn new(zones: Vec<String>, drain_grace: Micros) -> NodeRegistry {
        NodeRegistry {
            nodes: BTreeMap::new(),
            ids_by_name: HashMap::new(),
            next_id: 0,
            zones,
            drain_grace,
        }
    }

    /// Returns the id of the node with this name, and adds the node if it is unknown.
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

    /// Returns the states of all nodes, ordered by id.
    pub(super) fn iter(&self) -> impl Iterator<Item = &NodeState> {
        self.nodes.values()
    }

    /// Returns whether a node is listed, or removed but with attempts in flight.
    pub(super) fn contains(&self, node: NodeId) -> bool {
        self.nodes.contains_key(&node)
    }

    /// Returns whether any node is in service.
    pub(super) fn has_in_service(&self) -> bool {
        self.nodes
            .values()
            .any(|node| node.status == EndpointStatus::InService)
    }

    /// Returns whether the gateway may start to write an attempt to a node at the time `now`.
    pub(super) fn may_write(&self, node: NodeId, now: Micros) -> bool {
        self.nodes
            .get(&node)
            .is_some_and(|node| node.may_write(now))
    }

    /// Returns the name of a node for log lines; `?` if the node is unknown.
    pub(super) fn name(&self, node: NodeId) -> &str {
        self.nodes.get(&node).map_or("?", |node| node.name.as_str())
    }

    /// Applies a snapshot or a delta of the endpoint list, and returns its records in the
    /// scheduler's form. Events that report a failure have no records.
    pub(super) fn apply(
        &mut self,
        event: EndpointListEvent,
        records: &[EndpointRecord],
        now: Micros,
    ) -> Vec<Endpoint> {
        let endpoints: Vec<Endpoint> = records
            .iter()
            .map(|record| self.apply_record(record))
            .collect();
        match event {
            EndpointListEvent::Snapshot
            | EndpointListEvent::Cached
            | EndpointListEvent::Unconfirmed => {
                self.mark_unlisted_as_removed(&endpoints);
            }
            EndpointListEvent::Delta
            | EndpointListEvent::PollFailed
            | EndpointListEvent::WatchLost => {}
        }
        self.update_write_deadlines(now);
        self.log_numbers(event, endpoints.len());
        self.remove_obsolete();
        endpoints
    }

    /// Counts an attempt that was started at a node.
    pub(super) fn attempt_started(&mut self, node: NodeId) {
        if let Some(node) = self.nodes.get_mut(&node) {
            node.attempts_in_flight += 1;
        }
    }

    /// Counts an attempt that has ended at a node, and adds the units that the node served for it.
    /// Removes the node if it is obsolete.
    pub(super) fn attempt_completed(&mut self, id: NodeId, served_units: Units) {
        let Some(node) = self.nodes.get_mut(&id) else {
            return;
        };
        node.attempts_in_flight = node.attempts_in_flight.saturating_sub(1);
        node.served_units += served_units;
        if node.is_obsolete() {
            self.ids_by_name.remove(&node.name);
            self.nodes.remove(&id);
        }
    }

    /// Stores the shard and the status of a listed node, and returns its record in the scheduler's
    /// form.
    fn apply_record(&mut self, record: &EndpointRecord) -> Endpoint {
        let zone = self.zone_number(&record.zone);
        let id = self.id_or_insert(&record.name);
        if let Some(node) = self.nodes.get_mut(&id) {
            node.shard = record.shard;
            node.set_status(record.status, id);
        }
        Endpoint {
            node: id,
            zone,
            shard: record.shard,
            status: record.status,
            started_at: record.started_at,
        }
    }

    /// Returns the number of a zone. A zone that neither the settings nor a record has named before
    /// gets the next number.
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

    /// Marks all nodes that a complete endpoint list does not name as removed.
    fn mark_unlisted_as_removed(&mut self, endpoints: &[Endpoint]) {
        let listed: BTreeSet<NodeId> = endpoints.iter().map(|endpoint| endpoint.node).collect();
        for (id, node) in &mut self.nodes {
            if !listed.contains(id) {
                node.set_status(EndpointStatus::Removed, *id);
            }
        }
    }

    /// Sets or clears the write deadline of every node according to its status.
    fn update_write_deadlines(&mut self, now: Micros) {
        let deadline = now + (self.drain_grace - DRAIN_SAFETY_MARGIN).max(0);
        for node in self.nodes.values_mut() {
            node.update_write_deadline(deadline);
        }
    }

    /// Logs how many nodes an update has named, and how many there are in each state.
    fn log_numbers(&self, event: EndpointListEvent, named: usize) {
        if matches!(
            event,
            EndpointListEvent::PollFailed | EndpointListEvent::WatchLost
        ) {
            return;
        }
        let count = |status| {
            let nodes = self.nodes.values();
            nodes.filter(|node| node.status == status).count()
        };
        log::info!(
            "endpoint list: {event:?} with {named} endpoints; {} in service, {} draining, \
             {} removed",
            count(EndpointStatus::InService),
            count(EndpointStatus::Draining),
            count(EndpointStatus::Removed)
        );
    }

    /// Removes all obsolete nodes. Replacement nodes may have new names, so the registry would
    /// otherwise grow without bound.
    fn remove_obsolete(&mut self) {
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
