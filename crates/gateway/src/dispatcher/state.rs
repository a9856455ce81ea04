//! The state of the dispatcher, its construction, the endpoint list and the queries.

use super::command::Command;
use super::in_flight_table::InFlightTable;
use super::node_state::NodeState;
use super::node_table::NodeTable;
use super::volume_counters::{VolumeCounterTable, VolumeCounters};
use crate::endpoint::EndpointRecord;
use crate::memory_budget::MemoryBudget;
use deployment_settings::{micros, DeploymentSettings, UnknownValue};
use io_scheduler::{
    Action, EndpointListEvent, Event, Micros, NodeId, Scheduler, StateSizes, VolumeId,
};
use std::collections::BTreeMap;

/// Joins clients, nodes and the scheduler; see the [module](super).
pub struct Dispatcher {
    /// Makes the decisions.
    pub(super) scheduler: Scheduler,
    /// The requests that await a final response or the result of an attempt.
    pub(super) in_flight: InFlightTable,
    /// The nodes of the endpoint list.
    pub(super) nodes: NodeTable,
    /// Requests and service by volume.
    pub(super) volume_counters: VolumeCounterTable,
    /// Events to pass to the next call of the scheduler.
    pub(super) events: Vec<Event>,
    /// Buffer for the scheduler's actions, stored to reuse its memory; empty between calls.
    pub(super) actions: Vec<Action>,
    /// Commands that the event loop has not taken yet.
    pub(super) commands: Vec<Command>,
    /// The time for which the timer of the scheduler is set, if it is set.
    pub(super) scheduler_timer: Option<Micros>,
}

impl Dispatcher {
    /// A dispatcher without nodes and requests. `seed` seeds the scheduler's random choices.
    ///
    /// # Errors
    ///
    /// Fails if the settings contain a value that the scheduler does not know.
    pub fn new(
        settings: &DeploymentSettings,
        budget: MemoryBudget,
        seed: u64,
        now: Micros,
    ) -> Result<Dispatcher, UnknownValue> {
        let drain_grace = micros(settings.rules.drain_grace_ms);
        Ok(Dispatcher {
            scheduler: Scheduler::new(settings.to_scheduler_settings()?, seed, now),
            in_flight: InFlightTable::new(budget),
            nodes: NodeTable::new(settings.zones.clone(), drain_grace),
            volume_counters: VolumeCounterTable::default(),
            events: Vec::new(),
            actions: Vec::new(),
            commands: Vec::new(),
            scheduler_timer: None,
        })
    }

    /// The id of a node, allocated if the name has none. A name has the same id until the node is
    /// removed and its last attempt has ended.
    pub fn node_id(&mut self, name: &str) -> NodeId {
        self.nodes.id_of(name)
    }

    /// Applies an endpoint list or a delta, and reports it to the scheduler. `kind` may also be
    /// the failure of a poll or watch, without records.
    pub fn update_endpoints(
        &mut self,
        kind: EndpointListEvent,
        records: &[EndpointRecord],
        now: Micros,
    ) {
        let endpoints = self.nodes.apply(kind, records, now);
        self.events.push(Event::EndpointList(kind, endpoints));
    }

    /// Whether a node is listed, or removed with attempts in flight.
    #[must_use]
    pub fn knows_node(&self, node: NodeId) -> bool {
        self.nodes.contains(node)
    }

    /// The drain guard: whether an attempt may start to be written to a node at the time `now`.
    ///
    /// The scheduler dispatches nothing to a draining node, but the node may have started to drain
    /// while an attempt waited for its connection.
    #[must_use]
    pub fn may_write(&self, node: NodeId, now: Micros) -> bool {
        self.nodes.may_write(node, now)
    }

    /// Whether any node is in service.
    #[must_use]
    pub fn has_endpoint(&self) -> bool {
        self.nodes.has_in_service()
    }

    /// The state of all nodes, by id.
    pub fn nodes(&self) -> impl Iterator<Item = &NodeState> {
        self.nodes.iter()
    }

    /// The counters of the volumes with the most requests, by volume.
    #[must_use]
    pub fn volume_counters(&self) -> &BTreeMap<VolumeId, VolumeCounters> {
        self.volume_counters.by_volume()
    }

    /// Number of entries in the scheduler's state.
    #[must_use]
    pub fn state_sizes(&self) -> StateSizes {
        self.scheduler.state_sizes()
    }

    /// Number of requests that have no final response yet.
    #[must_use]
    pub fn open_requests(&self) -> usize {
        self.in_flight.awaiting_response_count()
    }
}
