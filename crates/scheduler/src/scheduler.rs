//! Processes a batch of events.
//!
//! [`Scheduler`] owns the state of the other modules, each of which implements its own rule. The
//! submodules of `scheduler` pass events to those modules and carry out their decisions:
//!
//! - `intake`: registers and queues a received request.
//! - `admission`: checks whether a queued request may be dispatched now.
//! - `dispatch`: starts attempts.
//! - `completion`: handles the end of attempts and gives each request exactly one final response.
//! - `wakeup`: computes when the scheduler must be called even if no event occurs.
//! - `cleanup`: removes idle state.
//!
//! The interface is in `src/api`.

mod admission;
mod cleanup;
mod completion;
mod dispatch;
mod intake;
mod wakeup;

use crate::api::{
    Action, Endpoint, EndpointListEvent, Event, Micros, RequestId, Settings, StateSizes, TableSizes,
};
use crate::dmclock::ShardQueues;
use crate::endpoints::{EndpointPolling, ListConfirmation, NodeTable};
use crate::request::key_ordering::KeySequences;
use crate::request::latency_objective::LatencyObjectives;
use crate::request::shedding::RejectionTimes;
use crate::request::shutdown::ShutdownDeadline;
use crate::request::UnfinishedRequest;
use crate::retry::eligibility::RetryEligibility;
use crate::retry::retry_budget::RetryBudgetUsage;
use crate::time::Seconds;
use crate::volume::VolumeTable;
use std::collections::{BTreeMap, BTreeSet};

/// The scheduler of one host. It takes events in order and returns actions, which the caller must
/// carry out in order.
pub struct Scheduler {
    /// Settings of the deployment.
    settings: Settings,
    /// Seed of the hashes that replace random numbers. Hosts should use different seeds.
    seed: u64,
    /// Start of the scheduler: time zero of the dmClock tags.
    started_at: Micros,
    /// Time of the current batch of events.
    now: Micros,
    /// Actions that result from the current batch of events.
    actions: Vec<Action>,
    /// Nodes, and the node that holds each shard.
    nodes: NodeTable,
    /// Whether the endpoint list may be used.
    list_confirmation: ListConfirmation,
    /// Queued requests, by shard.
    queues: ShardQueues,
    /// Plan, limit and usage of each volume.
    volumes: VolumeTable,
    /// Requests that have no final response yet, or still have attempts in flight.
    requests: BTreeMap<RequestId, UnfinishedRequest>,
    /// Open requests that name no shard and for which no node is currently available.
    unroutable: BTreeSet<RequestId>,
    /// Times at which open requests are rejected (load shedding).
    rejections: RejectionTimes,
    /// When requests must have their final response while the host shuts down.
    shutdown: ShutdownDeadline,
    /// Latency objectives of requests that were closed without a known served attempt. If the
    /// client resends such a request, it keeps its objective.
    objectives: LatencyObjectives,
    /// Order of the requests with the same key.
    key_sequences: KeySequences,
    /// The retry budget and its usage.
    retry_budget: RetryBudgetUsage,
    /// Schedule of polls for the endpoint list; each poll opens a watch.
    polling: EndpointPolling,
    /// Time of the earliest timer that was requested and has not fired yet.
    timer_at: Option<Micros>,
    /// Time of the last cleanup of idle state.
    last_cleanup_at: Micros,
}

impl Scheduler {
    /// Creates a scheduler that starts at `now`. `seed` is the seed of the hashes that replace
    /// random numbers, and should differ between hosts.
    #[must_use]
    pub fn new(settings: Settings, seed: u64, now: Micros) -> Self {
        Scheduler {
            seed,
            started_at: now,
            now,
            actions: Vec::new(),
            nodes: NodeTable::default(),
            list_confirmation: ListConfirmation::default(),
            queues: ShardQueues::default(),
            volumes: VolumeTable::default(),
            requests: BTreeMap::new(),
            unroutable: BTreeSet::new(),
            rejections: RejectionTimes::default(),
            shutdown: ShutdownDeadline::default(),
            objectives: LatencyObjectives::default(),
            key_sequences: KeySequences::default(),
            retry_budget: RetryBudgetUsage::new(settings.retry_budget.clone()),
            polling: EndpointPolling::new(&settings, seed, now),
            timer_at: None,
            last_cleanup_at: now,
            settings,
        }
    }

    /// Returns the number of nodes, volumes and shards in the scheduler's state.
    #[must_use]
    pub fn state_sizes(&self) -> StateSizes {
        StateSizes {
            nodes: self.nodes.len(),
            volumes: self.volumes.len(),
            shards: self.queues.len(),
        }
    }

    /// Returns the sizes of the tables whose keys clients choose.
    #[must_use]
    pub fn table_sizes(&self) -> TableSizes {
        TableSizes {
            volumes: self.volumes.size(),
            shards: self.queues.size(),
            flows: self.queues.flow_size(),
            objectives: self.objectives.size(),
        }
    }

    /// Handles all events that occurred at `now`, then appends the resulting actions to `actions`.
    pub fn handle(&mut self, now: Micros, events: &[Event], actions: &mut Vec<Action>) {
        self.now = now;
        for event in events {
            self.handle_event(event);
        }
        self.reject_or_fail_expired();
        self.close_clients_if_due();
        self.dispatch_pending();
        self.poll_if_due();
        self.clean_up();
        self.set_timer();
        actions.append(&mut self.actions);
    }

    /// Passes one event to the modules that it affects.
    fn handle_event(&mut self, event: &Event) {
        match event {
            Event::EndpointList(event, endpoints) => self.on_endpoint_list(*event, endpoints),
            Event::RequestReceived(request) => self.on_request(request),
            // Part of the response may have reached the client, so no other response can be sent
            // and the request is closed. The attempt has not completed, so it is not known yet
            // whether the request is served.
            Event::ResponseStarted(id) => self.close_and_record_objective(*id),
            Event::ResponseNotNeeded(id) => self.on_response_not_needed(*id),
            Event::AttemptCompleted(completed) => self.on_attempt_completed(completed),
            Event::ShutdownRequested => self.on_shutdown_requested(),
            Event::TimerFired => {}
        }
    }

    /// Applies an update of the endpoint list, or schedules the next poll if the poll or watch
    /// failed.
    fn on_endpoint_list(&mut self, event: EndpointListEvent, endpoints: &[Endpoint]) {
        if self.list_confirmation.record(event) {
            self.actions.push(Action::AcceptClients);
        }
        match event {
            EndpointListEvent::PollFailed => {
                self.polling.record_failed_poll(self.now);
                return;
            }
            EndpointListEvent::WatchLost => {
                self.polling.record_lost_watch(self.now);
                return;
            }
            EndpointListEvent::Snapshot | EndpointListEvent::Delta => self.polling.record_update(),
            EndpointListEvent::Cached | EndpointListEvent::Unconfirmed => {}
        }
        self.nodes.apply(event, endpoints);
        for endpoint in endpoints {
            self.queues.add(endpoint.shard);
        }
    }

    /// Polls the endpoint list if a poll is due: requests that a watch on it is opened.
    fn poll_if_due(&mut self) {
        if self.polling.start_poll_if_due(self.now) {
            self.actions.push(Action::OpenWatch);
        }
    }

    /// Returns the retry rules, evaluated at the current time.
    fn retry_eligibility(&self) -> RetryEligibility<'_> {
        RetryEligibility {
            max_attempts: self.settings.max_attempts,
            budget: &self.retry_budget,
            nodes: &self.nodes,
            now: self.now,
        }
    }

    /// Returns the current time in seconds since the scheduler started, as used by the tags.
    fn tag_time(&self) -> Seconds {
        Seconds::between(self.started_at, self.now)
    }
}
