//! The core: requests, attempts and nodes, with no wire and no socket.
//!
//! It hands the scheduler its events, turns the scheduler's actions into effects for the loop, sees to
//! it that each request gets exactly one final answer, keeps writes away from draining nodes and counts
//! the service of every volume.

use crate::endpoint::EndpointRecord;
use crate::memory_budget::MemoryBudget;
use crate::timer_queue::{AttemptId, Timer, TimerQueue};
use deployment_settings::{micros, DeploymentSettings, UnknownValue};
use io_scheduler::{Micros, NodeId, RequestId};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;

/// A request is due this long before its client gives up: the answer has a way to go.
const ANSWER_AHEAD: Micros = 6_000;
/// A request that the scheduler left open past its time fails after this.
const OVERDUE: Micros = 3_000;
/// Writing to a draining node stops this long before the rule says.
const DRAIN_AHEAD: Micros = 30_000;
/// Volumes whose service is counted.
const TALLIES_MOST: usize = 2_000;
/// What a client that meets a full house is told to wait.
const FULL_HOUSE_WAIT: Micros = 250_000;

/// What is asked of a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Operation {
    Read,
    Write,
    /// The size of an object.
    Stat,
    /// The names of a volume's objects on one shard.
    List,
}

/// One request in no wire's words.
#[derive(Clone, Debug)]
pub struct StorageRequest {
    pub operation: Operation,
    /// The piece of data.
    pub object: u64,
    /// Its name, where the client knows it by one.
    pub name: Option<Box<str>>,
    pub volume: u64,
    /// The client's own name for the request.
    pub client_request_id: Box<str>,
    pub class: usize,
    pub plan: usize,
    pub units: f64,
    pub shard: Option<u64>,
    pub hosts: f64,
    pub wait: Micros,
    pub retry: bool,
    pub body: Vec<u8>,
    /// The client's list of names and values before and after its waiting time, to pass on unchanged.
    pub terms: (Box<str>, Box<str>),
}

/// What a node gave for a request that it ran.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ResponseBody {
    Value(Vec<u8>),
    Size(u64),
    Names(Vec<(Vec<u8>, u64)>),
    /// The node holds no such object.
    NotFound,
}

/// A request's one final answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Response {
    Served(ResponseBody),
    /// Trying again is harmless, after this wait.
    Rejected(Micros),
    /// It was never taken: the client has asked for what can't be.
    Invalid(&'static str),
    Failed,
    /// As `Failed`, because the time ran out.
    TimedOut,
}

/// How an attempt ended, as the loop saw it.
#[derive(Clone, Debug)]
pub struct AttemptResult {
    pub outcome: io_scheduler::Outcome,
    pub body: Option<ResponseBody>,
    pub remote_units: f64,
    pub utilization: Option<f64>,
}

impl AttemptResult {
    pub fn of(outcome: io_scheduler::Outcome) -> AttemptResult {
        AttemptResult { outcome, body: None, remote_units: 0.0, utilization: None }
    }
}

/// Where an answer goes: a connection's token and the place among its replies.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ReplySlot {
    pub conn: u64,
    pub slot: u64,
}

/// What the loop is to carry out.
#[derive(Debug)]
pub enum Command {
    StartAttempt {
        attempt: AttemptId,
        node: NodeId,
        until: Micros,
        request: Arc<StorageRequest>,
    },
    /// Nobody waits for this attempt any more.
    AbandonAttempt(AttemptId),
    Respond {
        reply_slot: ReplySlot,
        response: Response,
    },
    OpenWatch,
}

/// Service of one volume.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct VolumeCounters {
    pub taken: u64,
    pub served: u64,
    pub refused: u64,
    pub failed: u64,
    pub units: f64,
    pub attempts: u64,
}

/// What is known of a node, for the console and the drain guard.
#[derive(Clone, Debug)]
pub struct NodeState {
    pub name: String,
    pub shard: u64,
    pub status: io_scheduler::EndpointStatus,
    pub units: f64,
    pub out: usize,
    /// Nothing is written to the node from here on.
    stop_at: Option<Micros>,
}

struct InFlightRequest {
    request: Arc<StorageRequest>,
    reply_slot: ReplySlot,
    open: bool,
    due: Micros,
    out: Vec<InFlightAttempt>,
    /// Attempts started.
    made: u32,
    /// The last attempt to end got no answer in time.
    timed_out: bool,
}

struct InFlightAttempt {
    number: u32,
    node: NodeId,
    sent_at: Micros,
    until: Micros,
    /// A byte that may take effect has left.
    may_have_run: bool,
}

/// See the module.
pub struct Dispatcher {
    scheduler: io_scheduler::Scheduler,
    drain_grace: Micros,
    budget: MemoryBudget,
    requests: HashMap<RequestId, InFlightRequest>,
    /// The clients' own names of the requests held.
    client_request_ids: HashMap<Box<str>, RequestId>,
    next_request: u64,
    bodies: usize,
    /// The nodes listed, and those gone whose attempts are still out.
    nodes: BTreeMap<NodeId, NodeState>,
    names: HashMap<String, NodeId>,
    next_node: u64,
    zones: Vec<String>,
    volume_counters: BTreeMap<u64, VolumeCounters>,
    events: Vec<io_scheduler::Event>,
    actions: Vec<io_scheduler::Action>,
    commands: Vec<Command>,
    woken_at: Option<Micros>,
}

impl Dispatcher {
    pub fn new(
        settings: &DeploymentSettings,
        budget: MemoryBudget,
        seed: u64,
        now: Micros,
    ) -> Result<Dispatcher, UnknownValue> {
        Ok(Dispatcher {
            scheduler: io_scheduler::Scheduler::new(settings.to_scheduler_settings()?, seed, now),
            drain_grace: micros(settings.rules.stop_sending_within_ms),
            budget,
            requests: HashMap::new(),
            client_request_ids: HashMap::new(),
            next_request: 0,
            bodies: 0,
            nodes: BTreeMap::new(),
            names: HashMap::new(),
            next_node: 0,
            zones: settings.zones.clone(),
            volume_counters: BTreeMap::new(),
            events: Vec::new(),
            actions: Vec::new(),
            commands: Vec::new(),
            woken_at: None,
        })
    }

    // ---- nodes ----

    /// The id of a node name; the same name has the same id until the node is gone and forgotten.
    pub fn node_id(&mut self, name: &str) -> NodeId {
        if let Some(id) = self.names.get(name) {
            return *id;
        }
        let id = NodeId(self.next_node);
        self.next_node += 1;
        let state = NodeState {
            name: name.to_owned(),
            shard: 0,
            status: io_scheduler::EndpointStatus::Removed,
            units: 0.0,
            out: 0,
            stop_at: None,
        };
        self.nodes.insert(id, state);
        self.names.insert(name.to_owned(), id);
        id
    }

    /// Takes in a list of nodes, or changes to it.
    pub fn update_endpoints(
        &mut self,
        kind: io_scheduler::EndpointListEvent,
        lines: &[EndpointRecord],
        now: Micros,
    ) {
        let told = now + self.drain_grace - DRAIN_AHEAD.min(self.drain_grace / 2);
        let mut listed = Vec::with_capacity(lines.len());
        for line in lines {
            let zone = self.zones.iter().position(|z| *z == line.zone).unwrap_or_else(|| {
                self.zones.push(line.zone.clone());
                self.zones.len() - 1
            });
            let id = self.node_id(&line.name);
            if let Some(node) = self.nodes.get_mut(&id) {
                node.shard = line.shard;
                node.status = line.status;
            }
            listed.push(io_scheduler::Endpoint {
                node: id,
                zone: io_scheduler::Zone(zone as u64),
                shard: io_scheduler::Shard(line.shard),
                status: line.status,
                started_at: line.started_at,
            });
        }
        if matches!(kind, io_scheduler::EndpointListEvent::Snapshot | io_scheduler::EndpointListEvent::Cached)
        {
            let named: BTreeSet<NodeId> = listed.iter().map(|l| l.node).collect();
            for (id, node) in &mut self.nodes {
                if !named.contains(id) {
                    node.status = io_scheduler::EndpointStatus::Removed;
                }
            }
        }
        for node in self.nodes.values_mut() {
            node.stop_at = match node.status {
                io_scheduler::EndpointStatus::InService => None,
                _ => node.stop_at.or(Some(told)),
            };
        }
        // With ever new ids, what is gone would pile up.
        let names = &mut self.names;
        self.nodes.retain(|_, node| {
            let kept = node.status != io_scheduler::EndpointStatus::Removed || node.out > 0;
            if !kept {
                names.remove(&node.name);
            }
            kept
        });
        self.events.push(io_scheduler::Event::EndpointList(kind, listed));
    }

    /// Whether a node is listed, or gone with attempts out.
    pub fn knows_node(&self, node: NodeId) -> bool {
        self.nodes.contains_key(&node)
    }

    /// Whether the first byte of an attempt may still go to a node. The scheduler names no node that it
    /// knows to drain, but a send may have waited for its connection since.
    pub fn may_write(&self, node: NodeId, now: Micros) -> bool {
        self.nodes.get(&node).is_some_and(|n| n.stop_at.is_none_or(|at| now < at))
    }

    /// Whether there is a node to send to.
    pub fn has_endpoint(&self) -> bool {
        self.nodes.values().any(|n| n.status == io_scheduler::EndpointStatus::InService)
    }

    pub fn nodes(&self) -> impl Iterator<Item = &NodeState> {
        self.nodes.values()
    }

    pub fn volume_counters(&self) -> &BTreeMap<u64, VolumeCounters> {
        &self.volume_counters
    }

    /// How much the scheduler remembers.
    pub fn state_sizes(&self) -> io_scheduler::StateSizes {
        self.scheduler.state_sizes()
    }

    /// Requests that have no final answer yet.
    pub fn open_requests(&self) -> usize {
        self.requests.values().filter(|r| r.open).count()
    }

    // ---- requests ----

    /// Takes a request; its answer comes as an effect, in this turn or a later one.
    pub fn submit(
        &mut self,
        request: StorageRequest,
        reply_slot: ReplySlot,
        now: Micros,
        timers: &mut TimerQueue,
    ) -> RequestId {
        let id = RequestId(self.next_request);
        self.next_request += 1;
        // Two requests of one name can't be told apart at a node, which would run only one of them.
        if self.client_request_ids.contains_key(&request.client_request_id) {
            let response = Response::Invalid("the id is that of an open request");
            self.commands.push(Command::Respond { reply_slot, response });
            return id;
        }
        if self.volume_counters.len() >= TALLIES_MOST && !self.volume_counters.contains_key(&request.volume) {
            self.drop_tallies();
        }
        let counters = self.volume_counters.entry(request.volume).or_default();
        counters.taken += 1;
        let full = self.requests.len() >= self.budget.requests;
        if full || self.bodies + request.body.len() > self.budget.bodies {
            counters.refused += 1;
            self.commands
                .push(Command::Respond { reply_slot, response: Response::Rejected(FULL_HOUSE_WAIT) });
            return id;
        }
        let due = now + (request.wait - ANSWER_AHEAD.min(request.wait / 4)).max(0);
        self.bodies += request.body.len();
        self.client_request_ids.insert(request.client_request_id.clone(), id);
        timers.set(due + OVERDUE, Timer::RequestOverdue(id));
        self.events.push(io_scheduler::Event::RequestReceived(io_scheduler::Request {
            id,
            volume: io_scheduler::VolumeId(request.volume),
            plan: request.plan,
            class: request.class,
            key: Some(io_scheduler::ObjectKey(request.object)),
            shard: request.shard.map(io_scheduler::Shard),
            units: request.units,
            hosts: request.hosts,
            deadline: due,
            is_retry: request.retry,
        }));
        let open = InFlightRequest {
            request: Arc::new(request),
            reply_slot,
            open: true,
            due,
            out: Vec::new(),
            made: 0,
            timed_out: false,
        };
        self.requests.insert(id, open);
        id
    }

    /// Volumes may be as many as clients care to name: of too many, the half that has asked least is dropped.
    fn drop_tallies(&mut self) {
        let mut taken: Vec<u64> = self.volume_counters.values().map(|t| t.taken).collect();
        let middle = taken.len() / 2;
        let least = *taken.select_nth_unstable(middle).1;
        self.volume_counters.retain(|_, t| t.taken > least);
    }

    /// The client has gone away. What has not begun at a node by now does not begin any more, also where
    /// attempts can't be cancelled.
    pub fn client_disconnected(&mut self, id: RequestId, now: Micros, timers: &mut TimerQueue) {
        let Some(request) = self.requests.get_mut(&id).filter(|r| r.open) else { return };
        request.open = false;
        self.events.push(io_scheduler::Event::ClientDisconnected(id));
        let unsent = request.out.iter().filter(|o| !o.may_have_run).map(|o| o.number);
        for number in unsent.collect::<Vec<_>>() {
            self.abort_attempt(
                AttemptId { request: id, number },
                io_scheduler::Outcome::Cancelled,
                now,
                timers,
            );
        }
    }

    /// Whether an attempt's end is still waited for.
    pub fn is_awaiting(&self, attempt: AttemptId) -> bool {
        let out = self.requests.get(&attempt.request).map(|r| &r.out);
        out.is_some_and(|out| out.iter().any(|o| o.number == attempt.number))
    }

    // ---- attempts ----

    /// A byte that may take effect has been written for this attempt.
    pub fn mark_written(&mut self, attempt: AttemptId) {
        let request = self.requests.get_mut(&attempt.request);
        if let Some(out) = request.and_then(|r| r.out.iter_mut().find(|o| o.number == attempt.number)) {
            out.may_have_run = true;
        }
    }

    /// An attempt has ended; whatever comes for it later is dropped.
    pub fn complete_attempt(
        &mut self,
        attempt: AttemptId,
        end: AttemptResult,
        now: Micros,
        timers: &mut TimerQueue,
    ) {
        let Some(request) = self.requests.get_mut(&attempt.request) else { return };
        let Some(at) = request.out.iter().position(|o| o.number == attempt.number) else { return };
        let out = request.out.remove(at);
        request.timed_out = end.outcome == io_scheduler::Outcome::TimedOut;
        timers.cancel(out.until, Timer::AttemptTimeout(attempt));
        if let Some(node) = self.nodes.get_mut(&out.node) {
            node.out = node.out.saturating_sub(1);
            if end.outcome == io_scheduler::Outcome::Served {
                node.units += request.request.units;
            }
            // It was kept for the attempts that were out there.
            if node.out == 0 && node.status == io_scheduler::EndpointStatus::Removed {
                self.names.remove(&node.name);
                self.nodes.remove(&out.node);
            }
        }
        if let (io_scheduler::Outcome::Served, Some(found)) = (end.outcome, end.body) {
            if request.open {
                let answer = Response::Served(found);
                Self::respond(request, &mut self.volume_counters, &mut self.commands, answer);
            }
        }
        let closed = !request.open;
        self.events.push(io_scheduler::Event::AttemptCompleted(io_scheduler::CompletedAttempt {
            request: attempt.request,
            number: out.number,
            node: out.node,
            outcome: end.outcome,
            request_closed: closed,
            elapsed: now - out.sent_at,
            remote_units: end.remote_units,
            utilization: end.utilization,
        }));
        self.forget(attempt.request, timers);
    }

    /// An attempt is given up or lost its connection: it ends as one that never ran if no byte that may
    /// take effect has left. One that was given up for its client's sake tells nothing of its node then.
    pub fn abort_attempt(
        &mut self,
        attempt: AttemptId,
        how: io_scheduler::Outcome,
        now: Micros,
        timers: &mut TimerQueue,
    ) {
        let out = self.requests.get(&attempt.request).map(|r| &r.out);
        let Some(out) = out.and_then(|o| o.iter().find(|o| o.number == attempt.number)) else { return };
        let outcome = match how {
            _ if out.may_have_run => how,
            io_scheduler::Outcome::Cancelled => io_scheduler::Outcome::NotDispatched,
            _ => io_scheduler::Outcome::ConnectFailed,
        };
        self.commands.push(Command::AbandonAttempt(attempt));
        self.complete_attempt(attempt, AttemptResult::of(outcome), now, timers);
    }

    /// Takes in a deadline of the core's.
    pub fn handle_timer(&mut self, due: Timer, now: Micros, timers: &mut TimerQueue) {
        match due {
            Timer::AttemptTimeout(attempt) => {
                self.abort_attempt(attempt, io_scheduler::Outcome::TimedOut, now, timers)
            }
            Timer::Scheduler => {
                self.woken_at = None;
                self.events.push(io_scheduler::Event::TimerFired);
            }
            Timer::RequestOverdue(id) => {
                let Some(request) = self.requests.get_mut(&id).filter(|r| r.open) else { return };
                log::warn!("request {} was left open past its time", request.request.client_request_id);
                Self::respond(request, &mut self.volume_counters, &mut self.commands, Response::TimedOut);
                self.events.push(io_scheduler::Event::ClientDisconnected(id));
            }
            _ => {}
        }
    }

    fn respond(
        request: &mut InFlightRequest,
        volume_counters: &mut BTreeMap<u64, VolumeCounters>,
        commands: &mut Vec<Command>,
        response: Response,
    ) {
        request.open = false;
        let counters = volume_counters.entry(request.request.volume).or_default();
        match &response {
            Response::Served(_) => {
                counters.served += 1;
                counters.units += request.request.units;
            }
            Response::Rejected(_) => counters.refused += 1,
            Response::Failed | Response::TimedOut | Response::Invalid(_) => counters.failed += 1,
        }
        commands.push(Command::Respond { reply_slot: request.reply_slot, response });
    }

    fn forget(&mut self, id: RequestId, timers: &mut TimerQueue) {
        if self.requests.get(&id).is_some_and(|r| !r.open && r.out.is_empty()) {
            if let Some(request) = self.requests.remove(&id) {
                self.bodies -= request.request.body.len();
                self.client_request_ids.remove(&request.request.client_request_id);
                timers.cancel(request.due + OVERDUE, Timer::RequestOverdue(id));
            }
        }
    }

    // ---- the turn ----

    /// Whether the scheduler or the loop has something to hear of.
    pub fn has_work(&self) -> bool {
        !self.events.is_empty() || !self.commands.is_empty()
    }

    /// One call of the scheduler with all that has come; what is to be done goes to `effects`.
    pub fn run_scheduler(&mut self, now: Micros, timers: &mut TimerQueue, commands: &mut Vec<Command>) {
        if !self.events.is_empty() {
            let events = std::mem::take(&mut self.events);
            let mut actions = std::mem::take(&mut self.actions);
            self.scheduler.handle(now, &events, &mut actions);
            for event in events {
                if let io_scheduler::Event::ClientDisconnected(id) = event {
                    self.forget(id, timers);
                }
            }
            for action in actions.drain(..) {
                self.apply_action(action, now, timers);
            }
            self.actions = actions;
        }
        commands.append(&mut self.commands);
    }

    fn apply_action(&mut self, action: io_scheduler::Action, now: Micros, timers: &mut TimerQueue) {
        match action {
            io_scheduler::Action::Dispatch { request: id, node, deadline: until } => {
                let Some(request) = self.requests.get_mut(&id) else { return };
                let attempt = AttemptId { request: id, number: request.made };
                request.made += 1;
                request.out.push(InFlightAttempt {
                    number: attempt.number,
                    node,
                    sent_at: now,
                    until,
                    may_have_run: false,
                });
                timers.set(until, Timer::AttemptTimeout(attempt));
                if let Some(node) = self.nodes.get_mut(&node) {
                    node.out += 1;
                }
                self.volume_counters.entry(request.request.volume).or_default().attempts += 1;
                let request = Arc::clone(&request.request);
                self.commands.push(Command::StartAttempt { attempt, node, until, request });
            }
            io_scheduler::Action::Reject { request: id, retry_after: wait } => {
                self.finish(id, Response::Rejected(wait), timers)
            }
            io_scheduler::Action::Fail(id) => {
                let late = self.requests.get(&id).is_some_and(|r| r.timed_out || r.due <= now);
                self.finish(id, if late { Response::TimedOut } else { Response::Failed }, timers);
            }
            io_scheduler::Action::Cancel { request, attempt: number } => {
                self.abort_attempt(
                    AttemptId { request, number },
                    io_scheduler::Outcome::Cancelled,
                    now,
                    timers,
                );
            }
            io_scheduler::Action::OpenWatch => self.commands.push(Command::OpenWatch),
            // A gateway sends no probes, as the module asks for none: this one found nothing.
            io_scheduler::Action::HealthCheck(node) => {
                self.events.push(io_scheduler::Event::HealthCheckCompleted {
                    node,
                    healthy: false,
                    elapsed: 0,
                    load: None,
                });
            }
            io_scheduler::Action::SetTimer(at) => {
                timers.reschedule(&mut self.woken_at, Some(at), Timer::Scheduler)
            }
        }
    }

    fn finish(&mut self, id: RequestId, response: Response, timers: &mut TimerQueue) {
        if let Some(request) = self.requests.get_mut(&id).filter(|r| r.open) {
            Self::respond(request, &mut self.volume_counters, &mut self.commands, response);
        }
        self.forget(id, timers);
    }
}
