//! The loop of events and the timers; the decisions are in the modules below. Its interface is `src/api`.

mod admission;
mod completion;
mod dispatch;
mod endpoints;
mod ordering;
mod retry;

use crate::api::{Action, Event, Micros, Request, Settings, Shard, StateSizes};
use crate::hash::scatter;
use crate::node_health::{relative_latency, MAX_IN_FLIGHT};
use crate::state::{PendingRequest, Position, RepeatKey, Seconds, State, Volume};
use crate::volumes::VOLUME_RETENTION;
use std::collections::BTreeSet;

/// Interval at which requests that wait for a tag, a token bucket or a budget are checked again.
const RECHECK_INTERVAL: Micros = 4_000;

/// The scheduler of one host: takes events in order and returns actions to be carried out in order.
pub struct Scheduler {
    settings: Settings,
    /// Input of the hashes that stand in for random numbers; differs from host to host.
    seed: u64,
    /// Origin of the tags' time axis.
    started_at: Micros,
    /// Time of the events that are being handled.
    now: Micros,
    /// Actions for the events that are being handled.
    actions: Vec<Action>,
    state: State,
    /// When the next call of the discovery service is due.
    next_poll_at: Option<Micros>,
    /// The earliest timer requested that has not fired yet.
    timer_at: Option<Micros>,
    last_cleanup_at: Micros,
}

impl Scheduler {
    /// A scheduler that starts at `now`; `seed` replaces random numbers and should differ between hosts.
    #[must_use]
    pub fn new(settings: Settings, seed: u64, now: Micros) -> Self {
        Scheduler {
            seed,
            started_at: now,
            now,
            actions: Vec::new(),
            state: State::default(),
            next_poll_at: endpoints::poll_at(&settings, now, scatter(seed), endpoints::MAX_JITTER),
            timer_at: None,
            last_cleanup_at: now,
            settings,
        }
    }

    /// The number of nodes, volumes and shards in the state.
    #[must_use]
    pub fn state_sizes(&self) -> StateSizes {
        let State { nodes, volumes, queues, .. } = &self.state;
        StateSizes { nodes: nodes.len(), volumes: volumes.len(), shards: queues.len() }
    }

    /// Handles all events that occurred at `now`, then appends the resulting actions to `actions`.
    pub fn handle(&mut self, now: Micros, events: &[Event], actions: &mut Vec<Action>) {
        self.now = now;
        for event in events {
            match event {
                Event::EndpointList(event, endpoints) => self.on_endpoint_list(*event, endpoints),
                Event::RequestReceived(request) => self.on_request(request),
                Event::ResponseStarted(id) => self.close_unserved(*id),
                Event::ClientDisconnected(id) => self.on_client_disconnected(*id),
                Event::AttemptCompleted(completed) => self.on_attempt_completed(completed),
                Event::TimerFired => {}
            }
        }
        self.reject_expired();
        self.dispatch_pending();
        self.poll_if_due();
        self.remove_idle();
        self.set_timer();
        actions.append(&mut self.actions);
    }

    /// Registers a request with its volume and queues it, unless an earlier one of its key has to run first.
    fn on_request(&mut self, request: &Request) {
        let known_shard = request.shard.filter(|shard| self.state.node_of(*shard).is_some());
        let Some(class) = self.settings.classes.get(request.class) else { return };
        let Some(plan) = self.settings.plans.get(request.plan) else { return };
        let new_volume = || Volume::new(plan, &self.settings, self.started_at);
        let volume = self.state.volumes.entry(request.volume).or_insert_with(new_volume);
        volume.record_request(plan, request.hosts, self.now);
        volume.shards.extend(known_shard);
        if let Some(budget) = &self.settings.retry_budget {
            self.state.recent_requests.record((), budget.window, self.now);
        }
        // A client's retry keeps the first objective: with a new one it would compete as timely work again.
        let first_objective = RepeatKey::of(request).and_then(|key| self.state.objectives.remove(&key));
        let objective_at = first_objective.unwrap_or(self.now + class.latency_objective);
        // The client does not wait longer than its deadline, so a later objective is moved up to it.
        let objective_at = objective_at.min(request.deadline);
        let reject_at = self.now + (request.deadline - self.now).max(0) / 2;
        let relative_latency = relative_latency(request.units, &self.settings);
        let pending = PendingRequest::new(request, class, relative_latency, objective_at, reject_at);
        let key = pending.ordering_key();
        self.state.rejections.insert(reject_at, request.id);
        self.state.requests.insert(request.id, pending);
        if key.is_none_or(|key| self.join_sequence(key, request.id)) {
            self.enqueue(request.id, Position::ByPriority);
        }
    }

    /// Queues requests whose quiesce period is over or whose node is back, then dispatches from the queues.
    fn dispatch_pending(&mut self) {
        while let Some(key) = self.state.quiescing.pop_expired(self.now) {
            self.run_first(key);
        }
        for id in std::mem::take(&mut self.state.unroutable) {
            self.enqueue(id, Position::ByPriority);
        }
        for shard in Vec::from_iter(self.state.backlogged.iter().copied()) {
            self.dispatch_from(shard);
            if self.state.queues[&shard].is_empty() {
                self.state.backlogged.remove(&shard);
            }
        }
    }

    /// Removes idle volumes with their flows, and shards without a node, a flow or a queued request.
    fn remove_idle(&mut self) {
        if self.now - self.last_cleanup_at < VOLUME_RETENTION / 8 {
            return;
        }
        self.last_cleanup_at = self.now;
        let State { requests, volumes, queues, backlogged, .. } = &mut self.state;
        let in_use: BTreeSet<_> = requests.values().map(|pending| pending.request.volume).collect();
        volumes.retain(|id, volume| in_use.contains(id) || !volume.is_removable(self.now));
        for queue in queues.values_mut() {
            queue.flows.retain(|id, flow| !flow.queue.is_empty() || volumes.contains_key(id));
        }
        queues.retain(|shard, queue| !queue.is_unused() || backlogged.contains(shard));
    }

    /// Requests a timer for the next time at which a decision may change without an event.
    fn set_timer(&mut self) {
        self.timer_at = self.timer_at.filter(|at| *at > self.now);
        let recheck = self.state.backlogged.iter().filter_map(|shard| self.recheck_at(*shard)).min();
        let unroutable = (!self.state.unroutable.is_empty()).then_some(self.now + RECHECK_INTERVAL);
        let deadlines = [self.state.rejections.next_deadline(), self.state.quiescing.next_deadline()];
        let others = [recheck, unroutable, self.next_poll_at];
        let Some(at) = deadlines.into_iter().chain(others).flatten().min() else { return };
        if self.timer_at.is_none_or(|timer_at| at < timer_at) {
            self.timer_at = Some(at);
            self.actions.push(Action::SetTimer(at));
        }
    }

    /// When to check a queue again; `None` where only a completed attempt can let a request be dispatched.
    fn recheck_at(&self, shard: Shard) -> Option<Micros> {
        let queue = &self.state.queues[&shard];
        let node = self.state.node_of(shard).filter(|node| node.in_flight < MAX_IN_FLIGHT)?;
        let may_dispatch_late = node.health.is_idle(node.in_flight) && !queue.late.is_empty();
        (queue.has_timely() || may_dispatch_late)
            .then_some(node.health.paused_until.max(self.now + RECHECK_INTERVAL))
    }

    /// The current time on the tags' time axis.
    fn now_seconds(&self) -> Seconds {
        (self.now - self.started_at) as f64 / 1e6
    }
}
