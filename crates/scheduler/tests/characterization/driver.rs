//! The simulation: a queue of happenings on a clock of its own, which feeds the scheduler and
//! carries out its decisions.

use crate::churn::{change_condition, change_membership, repair, Effect, Repair};
use crate::cluster::Nodes;
use crate::interface::Subject;
use crate::plain::{
    Arrival, Completion, Decision, Ending, Input, Line, ListKind, Status, Time, MILLISECOND, SECOND,
};
use crate::random::Random;
use crate::record::Record;
use crate::scenarios::{Discovery, Scenario};
use std::collections::BTreeMap;

/// Time after the last request until the run ends, so that idle volumes are removed.
const EPILOGUE: Time = 140 * SECOND;
/// Time between two inputs that keep the scheduler going while nothing else happens.
const TICK: Time = 3 * SECOND;

/// Something that will happen at a time.
enum Happening {
    /// An input reaches the scheduler.
    Feed(Input),
    /// Clients send requests.
    Burst,
    /// A client sends a request again.
    Again(Arrival),
    /// The client of a request disconnects.
    Disconnect(u64),
    /// The response of an attempt starts.
    StartResponse(u64, u32),
    /// An attempt ends.
    AttemptEnds(u64, u32, Ending),
    /// The membership of the cluster changes.
    Membership,
    /// Nodes fall into a condition.
    Condition,
    /// A change that follows on an earlier one.
    Repair(Repair),
    /// The discovery service responds to a poll.
    PollEnds(u64),
    /// A watch ends.
    WatchEnds(u64),
    /// The scheduler is kept going.
    Tick,
}

/// A request in the driver's books.
struct Client {
    arrival: Arrival,
    attempts: u32,
    open: bool,
}

/// An attempt that has not ended.
struct Attempt {
    node: u64,
    dispatched_at: Time,
}

/// One run.
struct Driver<'a> {
    scenario: &'a Scenario,
    subject: Subject,
    random: Random,
    record: Record,
    now: Time,
    end: Time,
    happenings: BTreeMap<(Time, u64), Happening>,
    scheduled: u64,
    nodes: Nodes,
    clients: BTreeMap<u64, Client>,
    attempts: BTreeMap<(u64, u32), Attempt>,
    unsent: u64,
    watch: u64,
    watch_is_open: bool,
    usage_reported_at: Time,
}

/// Plays a scenario with a seed.
pub fn play(scenario: &Scenario, seed: u64) -> Record {
    let start = seed as Time * 7_654_321;
    let host_seed = seed.wrapping_mul(0xD1B5_4A32_D192_ED03);
    let mut driver = Driver {
        scenario,
        subject: Subject::new(&scenario.deployment, host_seed, start),
        random: Random::new(seed),
        record: Record::new(),
        now: start,
        end: Time::MAX,
        happenings: BTreeMap::new(),
        scheduled: 0,
        nodes: scenario.cluster.nodes(start),
        clients: BTreeMap::new(),
        attempts: BTreeMap::new(),
        unsent: scenario.traffic.requests,
        watch: 0,
        watch_is_open: false,
        usage_reported_at: start,
    };
    driver.begin();
    while driver.step() {}
    driver.record
}

impl Driver<'_> {
    /// Schedules what sets the run going.
    fn begin(&mut self) {
        match self.scenario.discovery {
            Discovery::Pushed => {
                let lines = self.listed();
                self.feed(0, Input::List(ListKind::Snapshot, lines));
            }
            Discovery::Polled { .. } | Discovery::Watched { .. } => {
                let mut lines = self.listed();
                lines.pop();
                lines.push(Line {
                    node: 500,
                    zone: 0,
                    shard: 0,
                    status: Status::InService,
                    started_at: None,
                });
                self.feed(0, Input::List(ListKind::Cached, lines));
            }
        }
        self.schedule(MILLISECOND, Happening::Burst);
        self.schedule(TICK, Happening::Tick);
        self.schedule_changes(true, true);
    }

    /// Hands over all that happens at the next time and carries out the decisions; false at the
    /// end.
    fn step(&mut self) -> bool {
        let Some((&(at, _), _)) = self.happenings.first_key_value() else {
            return false;
        };
        if at > self.end {
            return false;
        }
        self.now = at;
        let mut inputs = Vec::new();
        while let Some(entry) = self.happenings.first_entry() {
            if entry.key().0 > at {
                break;
            }
            let happening = entry.remove();
            self.happen(happening, &mut inputs);
        }
        let decisions = self.subject.handle(at, &inputs);
        for decision in &decisions {
            self.record.add(at, decision);
            self.carry_out(decision);
        }
        self.record.add_sizes(at, self.subject.sizes());
        true
    }

    fn schedule(&mut self, after: Time, happening: Happening) {
        self.scheduled += 1;
        self.happenings
            .insert((self.now + after.max(0), self.scheduled), happening);
    }

    fn feed(&mut self, after: Time, input: Input) {
        self.schedule(after, Happening::Feed(input));
    }

    /// Time until an end of an attempt, so that several ends fall on one time.
    fn aligned(&self, after: Time) -> Time {
        let quantum = self.scenario.quantum.max(1);
        let at = self.now + after.max(0);
        (at + quantum - 1) / quantum * quantum - self.now
    }

    fn happen(&mut self, happening: Happening, inputs: &mut Vec<Input>) {
        match happening {
            Happening::Feed(input) => inputs.push(input),
            Happening::Burst => self.send_burst(inputs),
            Happening::Again(arrival) => self.receive(arrival, inputs),
            Happening::Disconnect(request) => self.disconnect(request, inputs),
            Happening::StartResponse(request, number) => {
                self.start_response(request, number, inputs);
            }
            Happening::AttemptEnds(request, number, ending) => {
                self.end_attempt(request, number, ending, inputs);
            }
            Happening::Membership => {
                let effect = change_membership(&mut self.nodes, self.now, &mut self.random);
                self.apply(effect, inputs);
                self.schedule_changes(true, false);
            }
            Happening::Condition => {
                let churn = &self.scenario.churn;
                let effect = change_condition(&mut self.nodes, churn, &mut self.random);
                self.apply(effect, inputs);
                self.schedule_changes(false, true);
            }
            Happening::Repair(change) => {
                let effect = repair(&mut self.nodes, change, self.now);
                self.apply(effect, inputs);
            }
            Happening::PollEnds(watch) => self.end_poll(watch, inputs),
            Happening::WatchEnds(watch) => self.end_watch(watch, inputs),
            Happening::Tick => {
                inputs.push(Input::Timer);
                self.schedule(TICK, Happening::Tick);
            }
        }
    }

    /// The response of an attempt starts, unless the attempt has ended.
    fn start_response(&mut self, request: u64, number: u32, inputs: &mut Vec<Input>) {
        if self.attempts.contains_key(&(request, number)) {
            self.close(request);
            inputs.push(Input::ResponseStarted(request));
        }
    }

    /// Sends a burst of requests and schedules the next one.
    fn send_burst(&mut self, inputs: &mut Vec<Input>) {
        let traffic = &self.scenario.traffic;
        let size = 1 + self
            .random
            .below(traffic.burst)
            .min(self.random.below(traffic.burst));
        for _ in 0..size.min(self.unsent) {
            let id = self.record.requests;
            let deployment = &self.scenario.deployment;
            let (plans, classes) = (deployment.plans.len(), deployment.classes.len());
            let shards = self.scenario.cluster.shards;
            let arrival = traffic.arrival(id, self.now, plans, classes, shards, &mut self.random);
            self.receive(arrival, inputs);
            self.unsent -= 1;
        }
        if self.unsent == 0 {
            self.end = self.now + EPILOGUE;
            return;
        }
        let mut gap = self.random.between(0, 2 * traffic.mean_gap);
        let third = (traffic.requests / 3).max(1);
        if self.unsent / third != (self.unsent + size) / third {
            gap += traffic.pause;
        }
        self.schedule(gap, Happening::Burst);
    }

    /// A request reaches the host.
    fn receive(&mut self, arrival: Arrival, inputs: &mut Vec<Input>) {
        let arrival = Arrival {
            id: self.record.requests,
            ..arrival
        };
        self.record.requests += 1;
        inputs.push(Input::Arrival(arrival));
        self.clients.insert(
            arrival.id,
            Client {
                arrival,
                attempts: 0,
                open: true,
            },
        );
        let client_timeout = (arrival.deadline - self.now).max(0);
        if self.random.chance(self.scenario.traffic.disconnects) {
            let after = self.random.between(0, client_timeout.min(SECOND) + 1);
            self.schedule(after, Happening::Disconnect(arrival.id));
        } else if self.random.chance(800) {
            self.schedule(
                client_timeout + 5 * MILLISECOND,
                Happening::Disconnect(arrival.id),
            );
        }
    }

    /// A client disconnects, perhaps only after its response; some report it for ids never sent.
    fn disconnect(&mut self, request: u64, inputs: &mut Vec<Input>) {
        let was_open = self.clients[&request].open;
        if was_open || self.random.chance(100) {
            inputs.push(Input::Disconnected(request));
        }
        if self.random.chance(30) {
            inputs.push(Input::Disconnected(1_000_000 + request));
            inputs.push(Input::ResponseStarted(2_000_000 + request));
        }
        self.close(request);
        if was_open {
            self.send_again(request, 0);
        }
    }

    /// Some clients send a request again that was not served.
    fn send_again(&mut self, request: u64, after: Time) {
        if !self.random.chance(self.scenario.traffic.sent_again) {
            return;
        }
        let arrival = self.clients[&request].arrival;
        let mean_client_timeout = 2 * self.scenario.traffic.min_client_timeout;
        let after = after + self.random.between(0, 300 * MILLISECOND);
        let deadline = self.now + after + self.random.between(MILLISECOND, mean_client_timeout);
        self.schedule(
            after,
            Happening::Again(Arrival {
                deadline,
                ..arrival
            }),
        );
    }

    fn close(&mut self, request: u64) {
        if let Some(client) = self.clients.get_mut(&request) {
            client.open = false;
        }
    }

    /// Reports the end of an attempt that has not ended yet, sometimes with unknown ones beside it.
    fn end_attempt(&mut self, request: u64, number: u32, ending: Ending, inputs: &mut Vec<Input>) {
        let Some(attempt) = self.attempts.remove(&(request, number)) else {
            return;
        };
        if let Some(node) = self.nodes.get_mut(&attempt.node) {
            node.load = node.load.saturating_sub(1);
        }
        let served = ending == Ending::Served;
        self.record.served += u64::from(served);
        if served || self.random.chance(self.scenario.traffic.closing_ends) {
            self.close(request);
        }
        // The report of an end and the closing of its request may cross.
        let is_unaware = self.random.chance(200);
        let completion = Completion {
            request,
            number,
            node: attempt.node,
            ending,
            closed: !self.clients[&request].open && !is_unaware,
            elapsed: self.now - attempt.dispatched_at,
            remote_units: self.remote_units(ending),
            utilization: self.utilization(ending),
        };
        inputs.push(Input::Completed(completion));
        if self.random.chance(20) {
            let unknown = Completion {
                number: number + 5,
                ..completion
            };
            inputs.push(Input::Completed(unknown));
            inputs.push(Input::Completed(Completion {
                request: 3_000_000,
                ..completion
            }));
        }
    }

    /// Units that a response reports for other hosts.
    fn remote_units(&mut self, ending: Ending) -> f64 {
        let is_response = matches!(ending, Ending::Served | Ending::Error);
        if self.scenario.deployment.reports_remote_units && is_response {
            return self.random.pick(&[0.0, 0.0, 1.0, 2.5, 12.0]);
        }
        0.0
    }

    /// The usage report of a response: one about each period, some of them late.
    fn utilization(&mut self, ending: Ending) -> Option<f64> {
        let period = self.scenario.deployment.usage_report_period;
        let is_response = matches!(ending, Ending::Served | Ending::Error);
        let is_due = self.now - self.usage_reported_at >= period / 8;
        if period == 0 || !is_response || !is_due || self.random.chance(200) {
            return None;
        }
        self.usage_reported_at = self.now;
        Some(self.random.pick(&[0.0, 0.3, 0.8, 1.0, 1.7, 4.0]))
    }

    fn carry_out(&mut self, decision: &Decision) {
        match *decision {
            Decision::Dispatch {
                request,
                node,
                deadline,
            } => {
                self.start_attempt(request, node, deadline);
            }
            Decision::Reject {
                request,
                retry_after,
            } => {
                self.close(request);
                self.send_again(request, retry_after);
            }
            Decision::Fail(request) => {
                self.close(request);
                self.send_again(request, 0);
            }
            Decision::Cancel { request, attempt } => {
                let after = self.random.between(0, 3 * MILLISECOND);
                let cancelled = Happening::AttemptEnds(request, attempt, Ending::Cancelled);
                self.schedule(after, cancelled);
            }
            Decision::OpenWatch => self.open_watch(),
            Decision::SetTimer(at) => {
                let is_late = self.random.chance(self.scenario.late_timers);
                let delay = if is_late {
                    self.random.between(0, 20 * MILLISECOND)
                } else {
                    0
                };
                self.feed(at - self.now + delay, Input::Timer);
            }
        }
    }

    /// Starts an attempt and decides its fate.
    fn start_attempt(&mut self, request: u64, node: u64, deadline: Time) {
        let scenario = self.scenario;
        let client = self
            .clients
            .get_mut(&request)
            .expect("a dispatched request was sent");
        let number = client.attempts;
        client.attempts += 1;
        self.record.retries += u64::from(number > 0);
        let mean_units = scenario.deployment.mean_units.max(1.0);
        let size = client.arrival.units / mean_units;
        let model = self.nodes.get(&node);
        let model = model.filter(|model| model.line.status != Status::Removed);
        let time_left = (deadline - self.now).max(0);
        let fate = scenario
            .cluster
            .fate(model, size, time_left, &mut self.random);
        if let Some(model) = self.nodes.get_mut(&node) {
            model.load += 1;
        }
        self.attempts.insert(
            (request, number),
            Attempt {
                node,
                dispatched_at: self.now,
            },
        );
        let after = self.aligned(fate.after);
        let answers = matches!(fate.ending, Ending::Served | Ending::Reset);
        if answers && self.random.chance(scenario.traffic.early_responses) {
            self.schedule(after * 2 / 3, Happening::StartResponse(request, number));
        }
        self.schedule(after, Happening::AttemptEnds(request, number, fate.ending));
    }

    /// Schedules the next change of the membership or of a condition.
    fn schedule_changes(&mut self, membership: bool, condition: bool) {
        let churn = &self.scenario.churn;
        if self.unsent == 0 {
            return;
        }
        if membership && churn.membership_gap > 0 {
            let after = self.random.between(0, 2 * churn.membership_gap);
            self.schedule(after, Happening::Membership);
        }
        if condition && churn.condition_gap > 0 {
            let after = self.random.between(0, 2 * churn.condition_gap);
            self.schedule(after, Happening::Condition);
        }
    }

    /// Schedules what follows on a change and tells the host of it.
    fn apply(&mut self, effect: Effect, inputs: &mut Vec<Input>) {
        for (after, change) in effect.repairs {
            self.schedule(after, Happening::Repair(change));
        }
        let is_told = match self.scenario.discovery {
            Discovery::Pushed => true,
            Discovery::Polled { .. } | Discovery::Watched { .. } => self.watch_is_open,
        };
        if effect.lines.is_empty() || !is_told {
            return;
        }
        if self.random.chance(250) {
            let is_cached = self.random.chance(200);
            let kind = if is_cached {
                ListKind::Cached
            } else {
                ListKind::Snapshot
            };
            inputs.push(Input::List(kind, self.listed()));
        } else {
            inputs.push(Input::List(ListKind::Delta, effect.lines));
        }
        if self.scenario.discovery == Discovery::Pushed && self.random.chance(50) {
            inputs.push(Input::List(ListKind::PollFailed, Vec::new()));
        }
    }

    /// The complete endpoint list.
    fn listed(&self) -> Vec<Line> {
        let lines = self.nodes.values().map(|node| node.line);
        lines
            .filter(|line| line.status != Status::Removed)
            .collect()
    }

    /// A poll reaches the discovery service: it responds, fails, or is lost.
    fn open_watch(&mut self) {
        self.watch += 1;
        if self.random.chance(100) {
            return;
        }
        let after = self.random.between(MILLISECOND, 80 * MILLISECOND);
        self.schedule(after, Happening::PollEnds(self.watch));
    }

    /// The current watch is lost, or the interval until the next poll is over.
    fn end_watch(&mut self, watch: u64, inputs: &mut Vec<Input>) {
        if watch == self.watch {
            self.watch_is_open = false;
            inputs.push(Input::List(ListKind::WatchLost, Vec::new()));
        }
    }

    /// The discovery service responds to a poll; the watch ends after a while.
    fn end_poll(&mut self, watch: u64, inputs: &mut Vec<Input>) {
        if self.random.chance(200) {
            inputs.push(Input::List(ListKind::PollFailed, Vec::new()));
            return;
        }
        inputs.push(Input::List(ListKind::Snapshot, self.listed()));
        let after = match self.scenario.discovery {
            Discovery::Pushed => return,
            Discovery::Polled { interval } => interval,
            Discovery::Watched { mean } => {
                self.watch_is_open = true;
                self.random.between(0, 2 * mean)
            }
        };
        self.schedule(after, Happening::WatchEnds(watch));
    }
}
