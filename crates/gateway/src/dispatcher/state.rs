//! The state of the dispatcher, its construction, and the figures that the console shows.

use super::command::Command;
use super::node_registry::NodeRegistry;
use super::unfinished_requests::UnfinishedRequests;
use super::volume_counters::{VolumeCounterTable, VolumeCounters};
use crate::memory_budget::MemoryBudget;
use deployment_settings::{micros, DeploymentSettings, UnknownValue};
use io_scheduler::{Action, Event, Micros, Scheduler, StateSizes, VolumeId};
use std::collections::BTreeMap;

/// Joins clients, nodes and the scheduler; see the [module](super).
pub struct Dispatcher {
    /// Makes the decisions.
    pub(super) scheduler: Scheduler,
    /// The requests that await a final response or the result of an attempt.
    pub(super) requests: UnfinishedRequests,
    /// The nodes of the endpoint list.
    pub(super) nodes: NodeRegistry,
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
            requests: UnfinishedRequests::new(budget),
            nodes: NodeRegistry::new(settings.zones.clone(), drain_grace),
            volume_counters: VolumeCounterTable::default(),
            events: Vec::new(),
            actions: Vec::new(),
            commands: Vec::new(),
            scheduler_timer: None,
        })
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
        self.requests.awaiting_response_count()
    }
}
