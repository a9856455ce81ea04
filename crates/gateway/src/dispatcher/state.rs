//! The state of the dispatcher, its constructor, and the counters that the console prints.

use super::command::Command;
use super::executed_requests::ExecutedRequests;
use super::node_registry::NodeRegistry;
use super::table_sizes::EvictionLogs;
use super::unfinished_requests::UnfinishedRequests;
use super::volume_counters::{VolumeCounterTable, VolumeCounters};
use crate::memory_budget::MemoryBudget;
use deployment_settings::{micros, DeploymentSettings, UnknownValue};
use io_scheduler::{
    Action, Event, Idempotency, Micros, RequestId, Scheduler, StateSizes, VolumeId,
};
use std::collections::BTreeMap;

/// Connects clients, nodes and the scheduler; see the [module](super).
pub struct Dispatcher {
    /// Decides which requests are dispatched to which nodes, and which are rejected or failed.
    pub(super) scheduler: Scheduler,
    /// Requests that await a final response or the result of an attempt.
    pub(super) requests: UnfinishedRequests,
    /// Ids of finished requests that must not be executed again.
    pub(super) executed_requests: ExecutedRequests,
    /// Whether requests of a class may be executed again, by the index of the class.
    pub(super) is_idempotent: Vec<bool>,
    /// The nodes of the endpoint list.
    pub(super) nodes: NodeRegistry,
    /// Counters of requests and served units, by volume.
    pub(super) volume_counters: VolumeCounterTable,
    /// Events for the next call of the scheduler.
    pub(super) events: Vec<Event>,
    /// Requests whose deadline has passed without a final response; the next call of the scheduler
    /// may still give them one.
    pub(super) overdue: Vec<RequestId>,
    /// Buffer for the scheduler's actions, kept to reuse its allocation; empty between calls.
    pub(super) actions: Vec<Action>,
    /// Commands that the event loop has not taken yet.
    pub(super) commands: Vec<Command>,
    /// Expiry time of the scheduler's timer; `None` while the timer is not set.
    pub(super) scheduler_timer: Option<Micros>,
    /// What was logged about evictions from full tables.
    pub(super) eviction_logs: EvictionLogs,
}

impl Dispatcher {
    /// Creates a dispatcher without nodes or requests. `seed` is the seed of the hashes that the
    /// scheduler uses in place of random numbers.
    ///
    /// # Errors
    ///
    /// Returns an error if the settings contain a value that the scheduler does not know.
    pub fn new(
        settings: &DeploymentSettings,
        budget: MemoryBudget,
        seed: u64,
        now: Micros,
    ) -> Result<Dispatcher, UnknownValue> {
        let drain_grace = micros(settings.rules.drain_grace_ms);
        let scheduler_settings = settings.to_scheduler_settings()?;
        let classes = scheduler_settings.classes.iter();
        let is_idempotent = classes
            .map(|class| class.idempotency == Idempotency::Idempotent)
            .collect();
        Ok(Dispatcher {
            scheduler: Scheduler::new(scheduler_settings, seed, now),
            requests: UnfinishedRequests::new(budget),
            executed_requests: ExecutedRequests::new(budget.max_executed_requests),
            is_idempotent,
            nodes: NodeRegistry::new(settings.zones.clone(), drain_grace),
            volume_counters: VolumeCounterTable::default(),
            events: Vec::new(),
            overdue: Vec::new(),
            actions: Vec::new(),
            commands: Vec::new(),
            scheduler_timer: None,
            eviction_logs: EvictionLogs::default(),
        })
    }

    /// Returns the counters, by volume. Volumes with few requests may be missing: the dispatcher
    /// removes their counters when a request for another volume is received and the table is full.
    #[must_use]
    pub fn volume_counters(&self) -> &BTreeMap<VolumeId, VolumeCounters> {
        self.volume_counters.by_volume()
    }

    /// Returns the numbers of nodes, volumes and shards in the state of the scheduler. Tests check
    /// that this state does not grow without bound.
    #[must_use]
    pub fn state_sizes(&self) -> StateSizes {
        self.scheduler.state_sizes()
    }

    /// Returns the number of requests that have no final response yet.
    #[must_use]
    pub fn open_requests(&self) -> usize {
        self.requests.awaiting_response_count()
    }
}
