//! Discrete-event simulation of clients, nodes and the discovery service around one scheduler.
//!
//! Events are processed in the order of simulated time. They produce inputs for the scheduler, and
//! the scheduler's decisions schedule further events.

use crate::churn::{apply_follow_up, change_membership, inject_fault, ClusterChange, FollowUp};
use crate::cluster::Nodes;
use crate::rng::Rng;
use crate::scenarios::{Discovery, Scenario};
use crate::scheduler_adapter::SchedulerAdapter;
use crate::summary::RunSummary;
use crate::types::{
    AttemptCompletion, AttemptOutcome, ClientRequest, Decision, EndpointEntry, Input,
    ListUpdateKind, Micros, NodeStatus, MILLISECOND, SECOND,
};
use std::collections::BTreeMap;

/// Time from the last request to the end of the run, long enough for the removal of idle volumes.
const TIME_AFTER_LAST_REQUEST: Micros = 140 * SECOND;
/// Interval of additional timer inputs, which the scheduler did not set, so that it runs even if no
/// other event occurs.
const PERIODIC_TIMER_INTERVAL: Micros = 3 * SECOND;

/// An event of the simulation.
enum SimulationEvent {
    /// The scheduler receives an input.
    SchedulerInput(Input),
    /// Clients send a burst of requests.
    ClientBurst,
    /// A client retries a request.
    ClientRetry(ClientRequest),
    /// The client of the request with this id disconnects.
    ClientDisconnects(u64),
    /// The response to an attempt starts, given by the request's id and the attempt's number.
    ResponseStarts(u64, u32),
    /// An attempt ends, given by the request's id and the attempt's number.
    AttemptEnds(u64, u32, AttemptOutcome),
    /// The membership of the cluster changes.
    MembershipChange,
    /// One or all nodes in service become faulty.
    FaultInjection,
    /// A follow-up of an earlier change of the cluster is due.
    FollowUp(FollowUp),
    /// The poll with this number completes.
    PollCompletes(u64),
    /// The watch opened by the poll with this number ends, or the interval after that poll ends.
    WatchOrIntervalEnds(u64),
    /// The periodic timer fires.
    PeriodicTimer,
}

/// State of a request from the client's point of view.
struct ClientState {
    request: ClientRequest,
    /// Number of attempts dispatched so far.
    attempts: u32,
    /// Whether the client is still waiting for the response.
    is_open: bool,
}

/// An attempt that has not ended yet.
struct AttemptInFlight {
    node: u64,
    dispatched_at: Micros,
}

/// State of one run.
struct Simulation<'a> {
    scenario: &'a Scenario,
    scheduler: SchedulerAdapter,
    rng: Rng,
    summary: RunSummary,
    now: Micros,
    /// Time of the end of the run, which is set when the last request is sent.
    ends_at: Micros,
    /// Events by time; events at the same time keep the order in which they were scheduled.
    pending_events: BTreeMap<(Micros, u64), SimulationEvent>,
    /// Number of events scheduled so far, which orders events at the same time.
    scheduled_count: u64,
    nodes: Nodes,
    /// Clients by the id of their request.
    clients: BTreeMap<u64, ClientState>,
    /// Attempts in flight by the id of their request and their number.
    attempts: BTreeMap<(u64, u32), AttemptInFlight>,
    /// Number of requests not sent yet, without the retries by clients.
    unsent_requests: u64,
    /// Number of the last poll, counted from 1; 0 before the first.
    last_poll: u64,
    watch_is_open: bool,
    /// Time of the last usage report, or the start of the run.
    usage_reported_at: Micros,
}

/// Runs a scenario with a seed and returns the summary of the scheduler's decisions.
pub fn run(scenario: &Scenario, seed: u64) -> RunSummary {
    let start = seed as Micros * 7_654_321;
    let host_seed = seed.wrapping_mul(0xD1B5_4A32_D192_ED03);
    let mut simulation = Simulation {
        scenario,
        scheduler: SchedulerAdapter::new(&scenario.deployment, host_seed, start),
        rng: Rng::new(seed),
        summary: RunSummary::new(),
        now: start,
        ends_at: Micros::MAX,
        pending_events: BTreeMap::new(),
        scheduled_count: 0,
        nodes: scenario.cluster.initial_nodes(start),
        clients: BTreeMap::new(),
        attempts: BTreeMap::new(),
        unsent_requests: scenario.traffic.request_count,
        last_poll: 0,
        watch_is_open: false,
        usage_reported_at: start,
    };
    simulation.schedule_initial_events();
    while simulation.step() {}
    simulation.summary
}

impl Simulation<'_> {
    /// Schedules the first endpoint list, the first burst, the periodic timer and the first changes
    /// of the cluster.
    fn schedule_initial_events(&mut self) {
        match self.scenario.discovery {
            Discovery::Pushed => {
                let entries = self.endpoint_list();
                self.schedule_input(0, Input::EndpointList(ListUpdateKind::Snapshot, entries));
            }
            Discovery::Polled { .. } | Discovery::Watched { .. } => {
                let mut entries = self.endpoint_list();
                entries.pop();
                entries.push(EndpointEntry {
                    node: 500,
                    zone: 0,
                    shard: 0,
                    status: NodeStatus::InService,
                    started_at: None,
                });
                self.schedule_input(0, Input::EndpointList(ListUpdateKind::Cached, entries));
            }
        }
        self.schedule(MILLISECOND, SimulationEvent::ClientBurst);
        self.schedule(PERIODIC_TIMER_INTERVAL, SimulationEvent::PeriodicTimer);
        self.schedule_changes(true, true);
    }

    /// Processes all events at the next time, passes the resulting inputs to the scheduler and
    /// executes its decisions. Returns false at the end of the run.
    fn step(&mut self) -> bool {
        let Some((&(at, _), _)) = self.pending_events.first_key_value() else {
            return false;
        };
        if at > self.ends_at {
            return false;
        }
        self.now = at;
        let mut inputs = Vec::new();
        while let Some(entry) = self.pending_events.first_entry() {
            if entry.key().0 > at {
                break;
            }
            let event = entry.remove();
            self.process(event, &mut inputs);
        }
        let decisions = self.scheduler.handle(at, &inputs);
        for decision in &decisions {
            self.summary.add_decision(at, decision);
            self.execute(decision);
        }
        self.summary.add_sizes(at, self.scheduler.sizes());
        true
    }

    /// Schedules an event after a delay; a negative delay counts as 0.
    fn schedule(&mut self, after: Micros, event: SimulationEvent) {
        self.scheduled_count += 1;
        self.pending_events
            .insert((self.now + after.max(0), self.scheduled_count), event);
    }

    /// Schedules an input of the scheduler after a delay.
    fn schedule_input(&mut self, after: Micros, input: Input) {
        self.schedule(after, SimulationEvent::SchedulerInput(input));
    }

    /// Extends the delay until the end of an attempt, so that the attempt ends at a multiple of the
    /// scenario's completion granularity and several attempts end at the same time.
    fn align_delay(&self, after: Micros) -> Micros {
        let granularity = self.scenario.completion_granularity.max(1);
        let at = self.now + after.max(0);
        (at + granularity - 1) / granularity * granularity - self.now
    }

    /// Processes an event and appends the inputs that it produces.
    fn process(&mut self, event: SimulationEvent, inputs: &mut Vec<Input>) {
        match event {
            SimulationEvent::SchedulerInput(input) => inputs.push(input),
            SimulationEvent::ClientBurst => self.send_burst(inputs),
            SimulationEvent::ClientRetry(request) => self.send_request(request, inputs),
            SimulationEvent::ClientDisconnects(request) => self.disconnect_client(request, inputs),
            SimulationEvent::ResponseStarts(request, number) => {
                self.start_response(request, number, inputs);
            }
            SimulationEvent::AttemptEnds(request, number, outcome) => {
                self.complete_attempt(request, number, outcome, inputs);
            }
            SimulationEvent::MembershipChange => {
                let change = change_membership(&mut self.nodes, self.now, &mut self.rng);
                self.apply_change(change, inputs);
                self.schedule_changes(true, false);
            }
            SimulationEvent::FaultInjection => {
                let churn = &self.scenario.churn;
                let change = inject_fault(&mut self.nodes, churn, &mut self.rng);
                self.apply_change(change, inputs);
                self.schedule_changes(false, true);
            }
            SimulationEvent::FollowUp(follow_up) => {
                let change = apply_follow_up(&mut self.nodes, follow_up, self.now);
                self.apply_change(change, inputs);
            }
            SimulationEvent::PollCompletes(poll) => self.complete_poll(poll, inputs),
            SimulationEvent::WatchOrIntervalEnds(poll) => self.end_watch_or_interval(poll, inputs),
            SimulationEvent::PeriodicTimer => {
                inputs.push(Input::TimerFired);
                self.schedule(PERIODIC_TIMER_INTERVAL, SimulationEvent::PeriodicTimer);
            }
        }
    }

    /// Starts the response of an attempt, unless the attempt has ended.
    fn start_response(&mut self, request: u64, number: u32, inputs: &mut Vec<Input>) {
        if self.attempts.contains_key(&(request, number)) {
            self.close_request(request);
            inputs.push(Input::ResponseStarted(request));
        }
    }

    /// Sends a burst of requests and schedules the next one.
    fn send_burst(&mut self, inputs: &mut Vec<Input>) {
        let traffic = &self.scenario.traffic;
        let burst_size = 1 + self
            .rng
            .below(traffic.max_burst)
            .min(self.rng.below(traffic.max_burst));
        for _ in 0..burst_size.min(self.unsent_requests) {
            let id = self.summary.requests_received;
            let deployment = &self.scenario.deployment;
            let (plan_count, class_count) = (deployment.plans.len(), deployment.classes.len());
            let shard_count = self.scenario.cluster.shard_count;
            let request = traffic.new_request(
                id,
                self.now,
                plan_count,
                class_count,
                shard_count,
                &mut self.rng,
            );
            self.send_request(request, inputs);
            self.unsent_requests -= 1;
        }
        if self.unsent_requests == 0 {
            self.ends_at = self.now + TIME_AFTER_LAST_REQUEST;
            return;
        }
        let mut delay = self.rng.in_range(0, 2 * traffic.mean_burst_interval);
        let requests_per_third = (traffic.request_count / 3).max(1);
        if self.unsent_requests / requests_per_third
            != (self.unsent_requests + burst_size) / requests_per_third
        {
            delay += traffic.pause;
        }
        self.schedule(delay, SimulationEvent::ClientBurst);
    }

    /// Sends a request with the next id, and decides whether and when its client disconnects.
    fn send_request(&mut self, request: ClientRequest, inputs: &mut Vec<Input>) {
        let request = ClientRequest {
            id: self.summary.requests_received,
            ..request
        };
        self.summary.requests_received += 1;
        inputs.push(Input::RequestReceived(request));
        self.clients.insert(
            request.id,
            ClientState {
                request,
                attempts: 0,
                is_open: true,
            },
        );
        let client_timeout = (request.deadline - self.now).max(0);
        if self
            .rng
            .chance_per_mille(self.scenario.traffic.disconnects_per_mille)
        {
            let after = self.rng.in_range(0, client_timeout.min(SECOND) + 1);
            self.schedule(after, SimulationEvent::ClientDisconnects(request.id));
        } else if self.rng.chance_per_mille(800) {
            self.schedule(
                client_timeout + 5 * MILLISECOND,
                SimulationEvent::ClientDisconnects(request.id),
            );
        }
    }

    /// Disconnects a client, sometimes after its response. Sometimes adds inputs with request ids
    /// that were never sent, which the scheduler must ignore.
    fn disconnect_client(&mut self, request: u64, inputs: &mut Vec<Input>) {
        let was_open = self.clients[&request].is_open;
        if was_open || self.rng.chance_per_mille(100) {
            inputs.push(Input::ClientDisconnected(request));
        }
        if self.rng.chance_per_mille(30) {
            inputs.push(Input::ClientDisconnected(1_000_000 + request));
            inputs.push(Input::ResponseStarted(2_000_000 + request));
        }
        self.close_request(request);
        if was_open {
            self.maybe_retry(request, 0);
        }
    }

    /// Decides whether the client retries a request that was not served, and schedules the retry.
    fn maybe_retry(&mut self, request: u64, after: Micros) {
        if !self
            .rng
            .chance_per_mille(self.scenario.traffic.client_retries_per_mille)
        {
            return;
        }
        let request = self.clients[&request].request;
        let max_retry_timeout = 2 * self.scenario.traffic.min_client_timeout;
        let after = after + self.rng.in_range(0, 300 * MILLISECOND);
        let deadline = self.now + after + self.rng.in_range(MILLISECOND, max_retry_timeout);
        self.schedule(
            after,
            SimulationEvent::ClientRetry(ClientRequest {
                deadline,
                ..request
            }),
        );
    }

    /// Records that the client no longer waits for a response.
    fn close_request(&mut self, request: u64) {
        if let Some(client) = self.clients.get_mut(&request) {
            client.is_open = false;
        }
    }

    /// Completes an attempt, unless it has ended already. Sometimes adds completions of an unknown
    /// attempt and an unknown request, which the scheduler must ignore.
    fn complete_attempt(
        &mut self,
        request: u64,
        number: u32,
        outcome: AttemptOutcome,
        inputs: &mut Vec<Input>,
    ) {
        let Some(attempt) = self.attempts.remove(&(request, number)) else {
            return;
        };
        if let Some(node) = self.nodes.get_mut(&attempt.node) {
            node.attempts_in_flight = node.attempts_in_flight.saturating_sub(1);
        }
        let served = outcome == AttemptOutcome::Served;
        self.summary.served_attempts += u64::from(served);
        if served
            || self
                .rng
                .chance_per_mille(self.scenario.traffic.closed_after_failure_per_mille)
        {
            self.close_request(request);
        }
        // Sometimes reports a closed request as open, as a host does that has not closed it yet.
        let reports_as_open = self.rng.chance_per_mille(200);
        let completion = AttemptCompletion {
            request,
            number,
            node: attempt.node,
            outcome,
            response_not_needed: !self.clients[&request].is_open && !reports_as_open,
            elapsed: self.now - attempt.dispatched_at,
            remote_units: self.remote_units(outcome),
            utilization: self.utilization(outcome),
        };
        inputs.push(Input::AttemptCompleted(completion));
        if self.rng.chance_per_mille(20) {
            let unknown = AttemptCompletion {
                number: number + 5,
                ..completion
            };
            inputs.push(Input::AttemptCompleted(unknown));
            inputs.push(Input::AttemptCompleted(AttemptCompletion {
                request: 3_000_000,
                ..completion
            }));
        }
    }

    /// Returns the units that a response reports as served through other hosts.
    fn remote_units(&mut self, outcome: AttemptOutcome) -> f64 {
        let is_response = matches!(outcome, AttemptOutcome::Served | AttemptOutcome::Error);
        if self.scenario.deployment.reports_remote_units && is_response {
            return self.rng.choose(&[0.0, 0.0, 1.0, 2.5, 12.0]);
        }
        0.0
    }

    /// Returns the usage report of a response, if it carries one. A report is due an eighth of the
    /// report period after the previous one; a fifth of the responses skip it, so that some reports
    /// are late.
    fn utilization(&mut self, outcome: AttemptOutcome) -> Option<f64> {
        let period = self.scenario.deployment.usage_report_period;
        let is_response = matches!(outcome, AttemptOutcome::Served | AttemptOutcome::Error);
        let is_due = self.now - self.usage_reported_at >= period / 8;
        if period == 0 || !is_response || !is_due || self.rng.chance_per_mille(200) {
            return None;
        }
        self.usage_reported_at = self.now;
        Some(self.rng.choose(&[0.0, 0.3, 0.8, 1.0, 1.7, 4.0]))
    }

    /// Executes a decision of the scheduler.
    fn execute(&mut self, decision: &Decision) {
        match *decision {
            Decision::Dispatch {
                request,
                node,
                times_out_at,
            } => {
                self.start_attempt(request, node, times_out_at);
            }
            Decision::Reject {
                request,
                retry_after,
            } => {
                self.close_request(request);
                self.maybe_retry(request, retry_after);
            }
            Decision::Fail(request) => {
                self.close_request(request);
                self.maybe_retry(request, 0);
            }
            Decision::Cancel { request, attempt } => {
                let after = self.rng.in_range(0, 3 * MILLISECOND);
                let cancellation =
                    SimulationEvent::AttemptEnds(request, attempt, AttemptOutcome::Cancelled);
                self.schedule(after, cancellation);
            }
            Decision::OpenWatch => self.send_poll(),
            Decision::SetTimer(at) => {
                let is_late = self
                    .rng
                    .chance_per_mille(self.scenario.late_timers_per_mille);
                let delay = if is_late {
                    self.rng.in_range(0, 20 * MILLISECOND)
                } else {
                    0
                };
                self.schedule_input(at - self.now + delay, Input::TimerFired);
            }
        }
    }

    /// Starts an attempt and schedules its end.
    fn start_attempt(&mut self, request: u64, node: u64, times_out_at: Micros) {
        let scenario = self.scenario;
        let client = self
            .clients
            .get_mut(&request)
            .expect("a dispatched request should have been sent");
        let number = client.attempts;
        client.attempts += 1;
        self.summary.retries_dispatched += u64::from(number > 0);
        let mean_units = scenario.deployment.mean_units.max(1.0);
        let relative_size = client.request.units / mean_units;
        let target = self.nodes.get(&node);
        let target = target.filter(|target| target.entry.status != NodeStatus::Removed);
        let time_left = (times_out_at - self.now).max(0);
        let end = scenario
            .cluster
            .attempt_end(target, relative_size, time_left, &mut self.rng);
        if let Some(target) = self.nodes.get_mut(&node) {
            target.attempts_in_flight += 1;
        }
        self.attempts.insert(
            (request, number),
            AttemptInFlight {
                node,
                dispatched_at: self.now,
            },
        );
        let after = self.align_delay(end.after);
        let gets_response = matches!(end.outcome, AttemptOutcome::Served | AttemptOutcome::Reset);
        if gets_response
            && self
                .rng
                .chance_per_mille(scenario.traffic.response_before_end_per_mille)
        {
            self.schedule(
                after * 2 / 3,
                SimulationEvent::ResponseStarts(request, number),
            );
        }
        self.schedule(
            after,
            SimulationEvent::AttemptEnds(request, number, end.outcome),
        );
    }

    /// Schedules the next change of the membership, the next fault, or both.
    fn schedule_changes(&mut self, membership: bool, fault: bool) {
        let churn = &self.scenario.churn;
        if self.unsent_requests == 0 {
            return;
        }
        if membership && churn.mean_membership_interval > 0 {
            let after = self.rng.in_range(0, 2 * churn.mean_membership_interval);
            self.schedule(after, SimulationEvent::MembershipChange);
        }
        if fault && churn.mean_fault_interval > 0 {
            let after = self.rng.in_range(0, 2 * churn.mean_fault_interval);
            self.schedule(after, SimulationEvent::FaultInjection);
        }
    }

    /// Schedules the follow-ups of a change and notifies the host if it receives updates.
    fn apply_change(&mut self, change: ClusterChange, inputs: &mut Vec<Input>) {
        for (after, follow_up) in change.follow_ups {
            self.schedule(after, SimulationEvent::FollowUp(follow_up));
        }
        let host_is_notified = match self.scenario.discovery {
            Discovery::Pushed => true,
            Discovery::Polled { .. } | Discovery::Watched { .. } => self.watch_is_open,
        };
        if change.entries.is_empty() || !host_is_notified {
            return;
        }
        if self.rng.chance_per_mille(250) {
            let is_cached = self.rng.chance_per_mille(200);
            let kind = if is_cached {
                ListUpdateKind::Cached
            } else {
                ListUpdateKind::Snapshot
            };
            inputs.push(Input::EndpointList(kind, self.endpoint_list()));
        } else {
            inputs.push(Input::EndpointList(ListUpdateKind::Delta, change.entries));
        }
        if self.scenario.discovery == Discovery::Pushed && self.rng.chance_per_mille(50) {
            inputs.push(Input::EndpointList(ListUpdateKind::PollFailed, Vec::new()));
        }
    }

    /// Returns the complete endpoint list, without removed nodes.
    fn endpoint_list(&self) -> Vec<EndpointEntry> {
        let entries = self.nodes.values().map(|node| node.entry);
        entries
            .filter(|entry| entry.status != NodeStatus::Removed)
            .collect()
    }

    /// Sends a poll to the discovery service. A tenth of the polls are lost and never complete.
    fn send_poll(&mut self) {
        self.last_poll += 1;
        if self.rng.chance_per_mille(100) {
            return;
        }
        let after = self.rng.in_range(MILLISECOND, 80 * MILLISECOND);
        self.schedule(after, SimulationEvent::PollCompletes(self.last_poll));
    }

    /// Ends the watch, or the interval until the next poll, unless a later poll has replaced it.
    fn end_watch_or_interval(&mut self, poll: u64, inputs: &mut Vec<Input>) {
        if poll == self.last_poll {
            self.watch_is_open = false;
            inputs.push(Input::EndpointList(ListUpdateKind::WatchLost, Vec::new()));
        }
    }

    /// Completes a poll with a failure or the endpoint list, and schedules the end of the watch or
    /// of the poll interval.
    fn complete_poll(&mut self, poll: u64, inputs: &mut Vec<Input>) {
        if self.rng.chance_per_mille(200) {
            inputs.push(Input::EndpointList(ListUpdateKind::PollFailed, Vec::new()));
            return;
        }
        inputs.push(Input::EndpointList(
            ListUpdateKind::Snapshot,
            self.endpoint_list(),
        ));
        let after = match self.scenario.discovery {
            Discovery::Pushed => return,
            Discovery::Polled { interval } => interval,
            Discovery::Watched { mean } => {
                self.watch_is_open = true;
                self.rng.in_range(0, 2 * mean)
            }
        };
        self.schedule(after, SimulationEvent::WatchOrIntervalEnds(poll));
    }
}
