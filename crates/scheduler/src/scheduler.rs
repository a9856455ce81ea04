//! The order of work for a batch of events.
//!
//! [`Scheduler`] joins the owners of the state, each of which keeps a rule of its own; its
//! submodules pass events to them and carry out what they decide:
//!
//! - `intake`: a request is registered and queued;
//! - `dispatch`: attempts are started, as far as `admission` allows;
//! - `completion`: attempts end, and each request gets its one final response;
//! - `wakeup`: when the scheduler has to be called without an event;
//! - `cleanup`: when state is forgotten.
//!
//! The interface is in `src/api`.

mod admission;
mod cleanup;
mod completion;
mod dispatch;
mod intake;
mod wakeup;

use crate::api::{
    Action, Endpoint, EndpointListEvent, Event, Micros, RequestId, Settings, StateSizes,
};
use crate::dmclock::ShardQueues;
use crate::endpoints::{EndpointPolling, NodeTable};
use crate::request::key_ordering::KeySequences;
use crate::request::latency_objective::LatencyObjectives;
use crate::request::shedding::RejectionTimes;
use crate::request::PendingRequest;
use crate::retry::eligibility::RetryEligibility;
use crate::retry::retry_budget::RetryBudgetUsage;
use crate::time::Seconds;
use crate::volume::VolumeTable;
use std::collections::{BTreeMap, BTreeSet};

/// The scheduler of one host: takes events in order and returns actions to be carried out in order.
pub struct Scheduler {
    /// Settings of the deployment.
    settings: Settings,
    /// Input of the hashes that stand in for random numbers; should differ from host to
    /// host.
    seed: u64,
    /// Origin of the tags' time axis.
    started_at: Micros,
    /// Time of the events that are being handled.
    now: Micros,
    /// Actions for the events that are being handled.
    actions: Vec<Action>,
    /// The nodes and which of them holds each shard.
    nodes: NodeTable,
    /// The requests that wait, by shard.
    queues: ShardQueues,
    /// What each volume may use and has used.
    volumes: VolumeTable,
    /// Requests that are open or have attempts in flight.
    requests: BTreeMap<RequestId, PendingRequest>,
    /// Open requests that name no shard and for which there is no node at present.
    unroutable: BTreeSet<RequestId>,
    /// When open requests are shed.
    rejections: RejectionTimes,
    /// Latency objectives for requests that clients send again.
    objectives: LatencyObjectives,
    /// The order of requests of one key.
    sequences: KeySequences,
    /// How many retries may be dispatched.
    retry_budget: RetryBudgetUsage,
    /// When to poll for the endpoint list.
    polling: EndpointPolling,
    /// The earliest timer requested that has not fired yet.
    timer_at: Option<Micros>,
    /// When idle state was last looked for.
    last_cleanup_at: Micros,
}

impl Scheduler {
    /// A scheduler that starts at `now`; `seed` replaces random numbers and should differ between
    /// hosts.
    #[must_use]
    pub fn new(settings: Settings, seed: u64, now: Micros) -> Self {
        Scheduler {
            seed,
            started_at: now,
            now,
            actions: Vec::new(),
            nodes: NodeTable::default(),
            queues: ShardQueues::default(),
            volumes: VolumeTable::default(),
            requests: BTreeMap::new(),
            unroutable: BTreeSet::new(),
            rejections: RejectionTimes::default(),
            objectives: LatencyObjectives::default(),
            sequences: KeySequences::default(),
            retry_budget: RetryBudgetUsage::new(settings.retry_budget.clone()),
            polling: EndpointPolling::new(&settings, seed, now),
            timer_at: None,
            last_cleanup_at: now,
            settings,
        }
    }

    /// The number of nodes, volumes and shards in the state.
    #[must_use]
    pub fn state_sizes(&self) -> StateSizes {
        StateSizes {
            nodes: self.nodes.len(),
            volumes: self.volumes.len(),
            shards: self.queues.len(),
        }
    }

    /// Handles all events that occurred at `now`, then appends the resulting actions to `actions`.
    pub fn handle(&mut self, now: Micros, events: &[Event], actions: &mut Vec<Action>) {
        self.now = now;
        for event in events {
            self.handle_event(event);
        }
        self.reject_expired();
        self.dispatch_pending();
        self.poll_if_due();
        self.clean_up();
        self.set_timer();
        actions.append(&mut self.actions);
    }

    /// Passes one event to the rules that it concerns.
    fn handle_event(&mut self, event: &Event) {
        match event {
            Event::EndpointList(event, endpoints) => self.on_endpoint_list(*event, endpoints),
            Event::RequestReceived(request) => self.on_request(request),
            // The client gets this response, whether or not it will be complete, so that the
            // request has ended; that it was served is not known yet.
            Event::ResponseStarted(id) => self.close_unserved(*id),
            Event::ClientDisconnected(id) => self.on_client_disconnected(*id),
            Event::AttemptCompleted(completed) => self.on_attempt_completed(completed),
            Event::TimerFired => {}
        }
    }

    /// Applies an endpoint list, or schedules the next poll if there is none.
    fn on_endpoint_list(&mut self, event: EndpointListEvent, endpoints: &[Endpoint]) {
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
            EndpointListEvent::Cached => {}
        }
        self.nodes.apply(event, endpoints);
        for endpoint in endpoints {
            self.queues.add(endpoint.shard);
        }
    }

    /// Opens a watch of the endpoint list if a poll is due.
    fn poll_if_due(&mut self) {
        if self.polling.start_poll_if_due(self.now) {
            self.actions.push(Action::OpenWatch);
        }
    }

    /// The retry rules now.
    fn retry_eligibility(&self) -> RetryEligibility<'_> {
        RetryEligibility {
            max_attempts: self.settings.max_attempts,
            budget: &self.retry_budget,
            nodes: &self.nodes,
            now: self.now,
        }
    }

    /// The current time on the tags' axis.
    fn tag_time(&self) -> Seconds {
        Seconds::between(self.started_at, self.now)
    }
}
