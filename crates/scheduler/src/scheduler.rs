//! The decision module: every choice of the gateway is made here. Its interface is `src/api`.
//!
//! The ordinary path is dmClock: due reservation tags go first, then the least share tag whose limit tag is
//! due, with a bound on requests in flight at one node. The rest guards the rules of the deployment.

mod admission;
mod completion;
mod dispatch;
mod endpoints;
mod ordering;
mod retry;

use crate::api::{Action, Event, Micros, Request, Settings, Shard, StateSizes};
use crate::hash::scatter;
use crate::node_health::{relative_latency, MAX_IN_FLIGHT};
use crate::state::{PendingRequest, Position, Seconds, ShardQueue, State, Volume};
use crate::volumes::VOLUME_RETENTION;
use completion::repeat_key;
use std::collections::BTreeSet;

/// Requests that wait for a tag, a token bucket or a budget are checked again after this.
const RECHECK_INTERVAL: Micros = 4_000;

/// Decides for one host: feed it events in order, carry out its actions in order.
pub struct Scheduler {
    settings: Settings,
    seed: u64,
    started_at: Micros,
    /// Time of the events that are handled.
    now: Micros,
    /// Actions decided on since the last events.
    actions: Vec<Action>,
    state: State,
    /// When the next call of the discovery service is due.
    next_poll_at: Option<Micros>,
    timer_at: Option<Micros>,
    last_cleanup: Micros,
}

impl Scheduler {
    /// A host that starts at `now`, with what the deployment states and a seed for its random numbers.
    #[must_use]
    pub fn new(settings: Settings, seed: u64, now: Micros) -> Self {
        Scheduler {
            seed,
            started_at: now,
            now,
            actions: Vec::new(),
            state: State::default(),
            next_poll_at: endpoints::poll_at(&settings, now, scatter(seed), endpoints::MAX_SPREAD),
            timer_at: None,
            last_cleanup: now,
            settings,
        }
    }

    /// How much is remembered of nodes, volumes and shards.
    #[must_use]
    pub fn state_sizes(&self) -> StateSizes {
        let State { nodes, volumes, queues, .. } = &self.state;
        StateSizes { nodes: nodes.len(), volumes: volumes.len(), shards: queues.len() }
    }

    /// Takes in all events of one moment, then decides.
    pub fn handle(&mut self, now: Micros, events: &[Event], actions: &mut Vec<Action>) {
        self.now = now;
        for event in events {
            match event {
                Event::EndpointList(event, endpoints) => self.on_endpoint_list(*event, endpoints),
                Event::RequestReceived(request) => self.on_request(request),
                Event::ResponseStarted(id) => self.close_unserved(*id),
                Event::ClientDisconnected(id) => self.on_client_disconnected(*id),
                Event::AttemptCompleted(completed) => self.on_attempt_completed(completed),
                Event::TimerFired | Event::HealthCheckCompleted { .. } => {}
            }
        }
        self.reject_expired();
        self.dispatch_pending();
        self.poll_if_due();
        self.forget_idle();
        self.set_timer();
        actions.append(&mut self.actions);
    }

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
        // A client's repeat keeps its first objective: taken for new, it would take slots for nothing.
        let first_objective = repeat_key(request).and_then(|key| self.state.objectives.remove(&key));
        let objective_at = first_objective.unwrap_or(self.now + class.latency_objective);
        // A client short of time leaves before the objective: what it can't wait for takes no slot.
        let objective_at = objective_at.min(request.deadline);
        let reject_at = self.now + (request.deadline - self.now).max(0) / 2;
        let relative_latency = relative_latency(request.units, &self.settings);
        let pending = PendingRequest::new(request, class, relative_latency, objective_at, reject_at);
        let key = request.key.filter(|_| class.ordered);
        self.state.rejections.insert(reject_at, request.id);
        self.state.requests.insert(request.id, pending);
        if key.is_none_or(|key| self.join_sequence(key, request.id)) {
            self.enqueue(request.id, Position::ByPriority);
        }
    }

    /// Queues requests that may go on now, and dispatches from the queues.
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

    /// Forgets volumes without requests, their flows, and shards that no node holds and nothing waits for.
    fn forget_idle(&mut self) {
        if self.now - self.last_cleanup < VOLUME_RETENTION / 8 {
            return;
        }
        self.last_cleanup = self.now;
        let State { requests, volumes, queues, backlogged, .. } = &mut self.state;
        let in_use: BTreeSet<_> = requests.values().map(|pending| pending.request.volume).collect();
        volumes.retain(|id, volume| in_use.contains(id) || !volume.is_idle(self.now));
        for queue in queues.values_mut() {
            queue.flows.retain(|id, flow| !flow.queue.is_empty() || volumes.contains_key(id));
        }
        let is_unused = |queue: &ShardQueue| queue.node.is_none() && queue.flows.is_empty();
        queues.retain(|shard, queue| !is_unused(queue) || backlogged.contains(shard));
    }

    /// Asks for a timer at the next time at which something may change without an event.
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

    /// When a request may leave a queue without an event; late ones and those for full nodes await responses.
    fn recheck_at(&self, shard: Shard) -> Option<Micros> {
        let queue = &self.state.queues[&shard];
        let node = self.state.node_of(shard).filter(|node| node.in_flight < MAX_IN_FLIGHT)?;
        let may_leave = queue.has_timely() || node.health.is_idle(node.in_flight) && !queue.late.is_empty();
        may_leave.then_some(node.health.paused_until.max(self.now + RECHECK_INTERVAL))
    }

    fn now_seconds(&self) -> Seconds {
        (self.now - self.started_at) as f64 / 1e6
    }
}
