//! The dispatcher joins clients, nodes and the scheduler, independent of sockets and wire formats.
//!
//! It reports requests, attempts and endpoint lists to the scheduler as events, and turns the scheduler's
//! actions into commands for the event loop. It makes sure that each request gets exactly one final response,
//! prevents new attempts from being written to draining nodes, and counts the service that each volume gets.

mod command;
mod in_flight;
mod nodes;
mod request;
mod volume_counters;

pub use command::Command;
pub use nodes::NodeState;
pub use request::{
    AttemptResult, InvalidRequest, ObjectEntry, Operation, ReplySlot, RequestParameters, Response,
    ResponseBody, StorageRequest,
};
pub use volume_counters::VolumeCounters;

use crate::endpoint::EndpointRecord;
use crate::memory_budget::MemoryBudget;
use crate::timer_queue::{AttemptId, Timer, TimerQueue};
use deployment_settings::{micros, DeploymentSettings, UnknownValue};
use in_flight::{InFlightRequest, InFlightTable};
use io_scheduler::{
    Action, CompletedAttempt, EndpointListEvent, Event, Micros, NodeId, ObjectKey, Outcome, Request,
    RequestId, Scheduler, Shard, StateSizes, VolumeId,
};
use nodes::NodeTable;
use std::collections::BTreeMap;
use std::sync::Arc;
use volume_counters::VolumeCounterTable;

/// Time reserved for the final response to reach the client before the client's timeout; at most a quarter of
/// that timeout.
const RESPONSE_DELIVERY_MARGIN: Micros = 6_000;
/// How long after its deadline the dispatcher itself fails a request that the scheduler has not ended.
const OVERDUE_GRACE: Micros = 3_000;
/// Retry-After of requests that are rejected because the memory budget is exhausted.
const OVERLOADED_RETRY_AFTER: Micros = 250_000;

/// Joins clients, nodes and the scheduler; see the [module](self).
pub struct Dispatcher {
    scheduler: Scheduler,
    in_flight: InFlightTable,
    nodes: NodeTable,
    volume_counters: VolumeCounterTable,
    /// Events to pass to the next call of the scheduler.
    events: Vec<Event>,
    /// Buffer for the scheduler's actions, kept to reuse its memory; empty between calls.
    actions: Vec<Action>,
    /// Commands that the event loop has not taken yet.
    commands: Vec<Command>,
    /// The time for which [`Timer::Scheduler`] is set, if it is set.
    scheduler_timer: Option<Micros>,
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

    /// The id of a node, allocated if the name has none. A name keeps its id until the node is removed and
    /// its last attempt has ended.
    pub fn node_id(&mut self, name: &str) -> NodeId {
        self.nodes.id_of(name)
    }

    /// Applies an endpoint list or a delta, and reports it to the scheduler. `kind` may also be the failure
    /// of a poll or watch, without records.
    pub fn update_endpoints(&mut self, kind: EndpointListEvent, records: &[EndpointRecord], now: Micros) {
        let endpoints = self.nodes.apply(kind, records, now);
        self.events.push(Event::EndpointList(kind, endpoints));
    }

    /// Whether a node is listed, or removed with attempts in flight.
    #[must_use]
    pub fn knows_node(&self, node: NodeId) -> bool {
        self.nodes.contains(node)
    }

    /// Whether an attempt may start to be written to a node at the time `now`. The scheduler dispatches
    /// nothing to a draining node, but the node may have started to drain while an attempt waited for its
    /// connection.
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
    pub fn volume_counters(&self) -> &BTreeMap<u64, VolumeCounters> {
        self.volume_counters.by_volume()
    }

    /// How much state the scheduler keeps.
    #[must_use]
    pub fn state_sizes(&self) -> StateSizes {
        self.scheduler.state_sizes()
    }

    /// Number of requests that have no final response yet.
    #[must_use]
    pub fn open_requests(&self) -> usize {
        self.in_flight.awaiting_response_count()
    }

    /// Accepts a request. Its final response is a [`Command::Respond`] of this turn or a later one.
    pub fn submit(
        &mut self,
        request: StorageRequest,
        reply_slot: ReplySlot,
        now: Micros,
        timers: &mut TimerQueue,
    ) -> RequestId {
        let id = self.in_flight.allocate_id();
        if self.in_flight.contains_client_request_id(&request.client_request_id) {
            let response = Response::Invalid(InvalidRequest::DuplicateClientRequestId);
            self.commands.push(Command::Respond { reply_slot, response });
            return id;
        }
        self.volume_counters.record_received(request.volume);
        if !self.in_flight.has_capacity(request.body.len()) {
            let response = Response::Rejected { retry_after: OVERLOADED_RETRY_AFTER };
            self.volume_counters.record_response(request.volume, request.units, &response);
            self.commands.push(Command::Respond { reply_slot, response });
            return id;
        }
        let deadline = response_deadline(now, request.client_timeout);
        timers.set(deadline + OVERDUE_GRACE, Timer::RequestOverdue(id));
        self.events.push(Event::RequestReceived(scheduler_request(id, &request, deadline)));
        self.in_flight.insert(id, request, reply_slot, deadline);
        id
    }

    /// Records that the client of a request has disconnected. Attempts that cannot have taken effect yet are
    /// aborted at once, whether or not the scheduler cancels attempts that may have run.
    pub fn client_disconnected(&mut self, id: RequestId, now: Micros, timers: &mut TimerQueue) {
        let Some(in_flight) = self.in_flight.get_mut(id) else { return };
        if in_flight.take_reply_slot().is_none() {
            return;
        }
        let unwritten = in_flight.unwritten_attempts();
        self.events.push(Event::ClientDisconnected(id));
        for number in unwritten {
            let attempt = AttemptId { request: id, number };
            self.abort_attempt(attempt, Outcome::Cancelled, now, timers);
        }
    }

    /// Whether the result of an attempt is awaited.
    #[must_use]
    pub fn is_awaiting(&self, attempt: AttemptId) -> bool {
        self.in_flight.attempt(attempt).is_some()
    }

    /// Records that enough of an attempt was written to its node for the request to take effect.
    pub fn mark_written(&mut self, attempt: AttemptId) {
        if let Some(attempt) = self.in_flight.attempt_mut(attempt) {
            attempt.may_have_run = true;
        }
    }

    /// Records the end of an attempt, responds to the client if the request was served, and reports the
    /// result to the scheduler. Results of attempts that are not awaited are ignored.
    pub fn complete_attempt(
        &mut self,
        attempt: AttemptId,
        result: AttemptResult,
        now: Micros,
        timers: &mut TimerQueue,
    ) {
        let AttemptResult { outcome, body, remote_units, utilization } = result;
        let Some(in_flight) = self.in_flight.get_mut(attempt.request) else { return };
        let timed_out = outcome == Outcome::TimedOut;
        let Some(completed) = in_flight.remove_attempt(attempt.number, timed_out) else { return };
        timers.cancel(completed.deadline, Timer::AttemptTimeout(attempt));
        let served_units = if outcome == Outcome::Served { in_flight.storage_request().units } else { 0.0 };
        self.nodes.attempt_completed(completed.node, served_units);
        if let (Outcome::Served, Some(body)) = (outcome, body) {
            self.respond(attempt.request, Response::Served(body));
        }
        self.events.push(Event::AttemptCompleted(CompletedAttempt {
            request: attempt.request,
            number: attempt.number,
            node: completed.node,
            outcome,
            request_closed: !self.awaits_response(attempt.request),
            elapsed: now - completed.dispatched_at,
            remote_units,
            utilization,
        }));
        self.remove_if_finished(attempt.request, timers);
    }

    /// Ends an attempt that has no result: it was cancelled, has timed out or lost its connection.
    ///
    /// `outcome` is reported to the scheduler if the request may have run. Otherwise the outcome is
    /// [`Outcome::NotDispatched`] for a cancelled attempt, which says nothing about its node, and
    /// [`Outcome::ConnectFailed`] for all others.
    pub fn abort_attempt(
        &mut self,
        attempt: AttemptId,
        outcome: Outcome,
        now: Micros,
        timers: &mut TimerQueue,
    ) {
        let Some(in_flight) = self.in_flight.attempt(attempt) else { return };
        let outcome = match outcome {
            _ if in_flight.may_have_run => outcome,
            Outcome::Cancelled => Outcome::NotDispatched,
            _ => Outcome::ConnectFailed,
        };
        self.commands.push(Command::AbandonAttempt(attempt));
        self.complete_attempt(attempt, AttemptResult::without_body(outcome), now, timers);
    }

    /// Handles an expired timer of the dispatcher; other timers are ignored.
    pub fn handle_timer(&mut self, timer: Timer, now: Micros, timers: &mut TimerQueue) {
        match timer {
            Timer::AttemptTimeout(attempt) => self.abort_attempt(attempt, Outcome::TimedOut, now, timers),
            Timer::Scheduler => {
                self.scheduler_timer = None;
                self.events.push(Event::TimerFired);
            }
            Timer::RequestOverdue(id) => self.fail_overdue(id),
            Timer::Connection(_) | Timer::DiscoveryWatch | Timer::Shutdown | Timer::ResumeAccepting => {}
        }
    }

    /// Whether there are events for the scheduler or commands for the event loop.
    #[must_use]
    pub fn has_work(&self) -> bool {
        !self.events.is_empty() || !self.commands.is_empty()
    }

    /// Calls the scheduler once with all pending events, if there are any, and moves the pending commands to
    /// `commands`.
    pub fn run_scheduler(&mut self, now: Micros, timers: &mut TimerQueue, commands: &mut Vec<Command>) {
        if !self.events.is_empty() {
            self.call_scheduler(now, timers);
        }
        commands.append(&mut self.commands);
    }

    /// Passes the pending events to the scheduler and applies its actions.
    fn call_scheduler(&mut self, now: Micros, timers: &mut TimerQueue) {
        let events = std::mem::take(&mut self.events);
        let mut actions = std::mem::take(&mut self.actions);
        self.scheduler.handle(now, &events, &mut actions);
        for event in events {
            if let Event::ClientDisconnected(id) = event {
                self.remove_if_finished(id, timers);
            }
        }
        for action in actions.drain(..) {
            self.apply_action(&action, now, timers);
        }
        self.actions = actions;
    }

    /// Applies an action of the scheduler.
    fn apply_action(&mut self, action: &Action, now: Micros, timers: &mut TimerQueue) {
        match *action {
            Action::Dispatch { request, node, deadline } => {
                self.dispatch(request, node, deadline, now, timers);
            }
            Action::Reject { request, retry_after } => {
                self.finish(request, Response::Rejected { retry_after }, timers);
            }
            Action::Fail(request) => self.fail(request, now, timers),
            Action::Cancel { request, attempt: number } => {
                self.abort_attempt(AttemptId { request, number }, Outcome::Cancelled, now, timers);
            }
            Action::OpenWatch => self.commands.push(Command::OpenWatch),
            Action::HealthCheck(node) => self.fail_health_check(node),
            Action::SetTimer(at) => {
                timers.reschedule(&mut self.scheduler_timer, Some(at), Timer::Scheduler);
            }
        }
    }

    /// Starts an attempt at a node.
    fn dispatch(
        &mut self,
        id: RequestId,
        node: NodeId,
        deadline: Micros,
        now: Micros,
        timers: &mut TimerQueue,
    ) {
        let Some(in_flight) = self.in_flight.get_mut(id) else { return };
        let number = in_flight.start_attempt(node, now, deadline);
        let request = Arc::clone(in_flight.storage_request());
        let attempt = AttemptId { request: id, number };
        timers.set(deadline, Timer::AttemptTimeout(attempt));
        self.nodes.attempt_started(node);
        self.volume_counters.record_attempt(request.volume);
        self.commands.push(Command::StartAttempt { attempt, node, deadline, request });
    }

    /// Reports a failed health check: the gateway sends none, and the scheduler must get a result if it asks
    /// for one.
    fn fail_health_check(&mut self, node: NodeId) {
        self.events.push(Event::HealthCheckCompleted { node, healthy: false, elapsed: 0, load: None });
    }

    /// Ends a request that the scheduler has failed.
    fn fail(&mut self, id: RequestId, now: Micros, timers: &mut TimerQueue) {
        let timed_out = self.in_flight.get(id).is_some_and(|request| request.has_timed_out(now));
        let response = if timed_out { Response::TimedOut } else { Response::Failed };
        self.finish(id, response, timers);
    }

    /// Ends a request that the scheduler has left without a final response past its deadline.
    fn fail_overdue(&mut self, id: RequestId) {
        let Some(in_flight) = self.in_flight.get(id) else { return };
        if !in_flight.awaits_response() {
            return;
        }
        let client_request_id = &in_flight.storage_request().client_request_id;
        log::warn!("request {client_request_id} had no response at its deadline");
        self.respond(id, Response::TimedOut);
        self.events.push(Event::ClientDisconnected(id));
    }

    /// Sends the final response and removes the request if no attempt is in flight.
    fn finish(&mut self, id: RequestId, response: Response, timers: &mut TimerQueue) {
        self.respond(id, response);
        self.remove_if_finished(id, timers);
    }

    /// Sends the final response, unless one was sent already or the client has disconnected.
    fn respond(&mut self, id: RequestId, response: Response) {
        let Some(in_flight) = self.in_flight.get_mut(id) else { return };
        let Some(reply_slot) = in_flight.take_reply_slot() else { return };
        let request = in_flight.storage_request();
        self.volume_counters.record_response(request.volume, request.units, &response);
        self.commands.push(Command::Respond { reply_slot, response });
    }

    /// Whether the client still waits for the final response.
    fn awaits_response(&self, id: RequestId) -> bool {
        self.in_flight.get(id).is_some_and(InFlightRequest::awaits_response)
    }

    /// Removes a request that needs neither a final response nor the result of an attempt.
    fn remove_if_finished(&mut self, id: RequestId, timers: &mut TimerQueue) {
        if let Some(removed) = self.in_flight.remove_finished(id) {
            timers.cancel(removed.deadline() + OVERDUE_GRACE, Timer::RequestOverdue(id));
        }
    }
}

/// The latest time to send the final response to a client that waits for `client_timeout` from `now` on.
fn response_deadline(now: Micros, client_timeout: Micros) -> Micros {
    let margin = RESPONSE_DELIVERY_MARGIN.min(client_timeout / 4);
    now + (client_timeout - margin).max(0)
}

/// A client's request in the scheduler's form.
fn scheduler_request(id: RequestId, request: &StorageRequest, deadline: Micros) -> Request {
    Request {
        id,
        volume: VolumeId(request.volume),
        plan: request.plan,
        class: request.class,
        key: Some(ObjectKey(request.object)),
        shard: request.shard.map(Shard),
        units: request.units,
        hosts: request.hosts,
        deadline,
        is_retry: request.is_retry,
    }
}
