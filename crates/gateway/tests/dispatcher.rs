//! The dispatcher on a virtual clock, without sockets.

#[path = "fixtures/random_numbers.rs"]
mod random_numbers;

use deployment_settings::DeploymentSettings;
use io_scheduler::{
    ClassIndex, EndpointListEvent, EndpointStatus, Micros, NodeId, ObjectKey, Outcome, PlanIndex,
    RequestId, Shard, VolumeId,
};
use random_numbers::RandomNumbers;
use std::collections::{BTreeMap, BTreeSet};
use storage_gateway::connection_token::ConnectionToken;
use storage_gateway::dispatcher::{
    AbortCause, AttemptResult, Command, Dispatcher, InvalidRequest, Operation, ReplySlot, Response,
    ResponseBody, StorageRequest,
};
use storage_gateway::endpoint::EndpointRecord;
use storage_gateway::memory_budget::MemoryBudget;
use storage_gateway::storage_request::SlotNumber;
use storage_gateway::timer_queue::{AttemptId, Timer, TimerQueue};

const MS: Micros = 1_000;
/// The class of reads in the settings.
const READ_CLASS: ClassIndex = ClassIndex(0);
/// The class of writes in the settings.
const WRITE_CLASS: ClassIndex = ClassIndex(1);
const MEMORY_MB: usize = 64;
const CLIENT_WAIT: Micros = 6_000 * MS;
const DEFAULT_VOLUME: VolumeId = VolumeId(1);

/// A request that was submitted.
struct Submitted {
    slot: u64,
    id: RequestId,
}

/// The final response to a request.
struct Responded {
    slot: u64,
    response: Response,
}

/// An attempt that the dispatcher has started.
struct StartedAttempt {
    id: AttemptId,
    node: NodeId,
    times_out_at: Micros,
}

/// A dispatcher with the timers and the clock of an event loop.
struct Harness {
    dispatcher: Dispatcher,
    timers: TimerQueue,
    now: Micros,
    commands: Vec<Command>,
    /// Number of requests submitted.
    submitted: u64,
}

fn settings(change: impl FnOnce(&mut DeploymentSettings)) -> DeploymentSettings {
    let mut text = include_str!("common/settings.json").as_bytes().to_vec();
    let mut settings: DeploymentSettings =
        simd_json::serde::from_slice(&mut text).expect("valid settings");
    change(&mut settings);
    settings
}

fn endpoint(name: &str, shard: u64, status: EndpointStatus) -> EndpointRecord {
    EndpointRecord {
        name: name.into(),
        zone: "a".into(),
        shard: Shard(shard),
        status,
        started_at: None,
    }
}

fn in_service(name: &str, shard: u64) -> EndpointRecord {
    endpoint(name, shard, EndpointStatus::InService)
}

impl Harness {
    fn new(settings: &DeploymentSettings, endpoints: &[EndpointRecord]) -> Harness {
        let now = 1_000_000 * MS;
        let mut dispatcher =
            Dispatcher::new(settings, MemoryBudget::from_memory_mb(MEMORY_MB), 7, now)
                .expect("valid settings");
        dispatcher.update_endpoints(EndpointListEvent::Snapshot, endpoints, now);
        let timers = TimerQueue::default();
        let mut harness = Harness {
            dispatcher,
            timers,
            now,
            commands: Vec::new(),
            submitted: 0,
        };
        harness.run_turn();
        harness.commands.clear();
        harness
    }

    /// A request with an object and a client request id of its own.
    fn new_request(&self, operation: Operation, shard: Option<u64>) -> StorageRequest {
        StorageRequest {
            operation,
            object: ObjectKey(self.submitted),
            object_name: None,
            volume: DEFAULT_VOLUME,
            client_request_id: self.submitted.to_string().into(),
            class: if operation == Operation::Write {
                WRITE_CLASS
            } else {
                READ_CLASS
            },
            plan: PlanIndex(0),
            units: 1.0,
            shard: shard.map(Shard),
            hosts: 1.0,
            client_timeout: CLIENT_WAIT,
            is_retry: false,
            body: Vec::new(),
            parameters: Default::default(),
        }
    }

    fn submit(&mut self, operation: Operation, shard: Option<u64>) -> Submitted {
        self.submit_request(self.new_request(operation, shard))
    }

    fn submit_request(&mut self, request: StorageRequest) -> Submitted {
        self.submitted += 1;
        let slot = self.submitted;
        let reply_slot = ReplySlot {
            connection: ConnectionToken::from(0),
            slot: SlotNumber(slot),
        };
        let id = self
            .dispatcher
            .submit(request, reply_slot, self.now, &mut self.timers);
        Submitted { slot, id }
    }

    fn update_endpoint(&mut self, endpoint: EndpointRecord) {
        self.dispatcher
            .update_endpoints(EndpointListEvent::Delta, &[endpoint], self.now);
    }

    /// One turn of the event loop: expired timers, then the scheduler.
    fn run_turn(&mut self) {
        while let Some(timer) = self.timers.pop_expired(self.now) {
            let Timer::Dispatcher(timer) = timer else {
                panic!("the dispatcher has set {timer:?}");
            };
            self.dispatcher
                .handle_timer(timer, self.now, &mut self.timers);
        }
        self.dispatcher
            .run_scheduler(self.now, &mut self.timers, &mut self.commands);
    }

    /// Lets time pass, then runs one turn.
    fn advance(&mut self, span: Micros) {
        self.now += span;
        self.run_turn();
    }

    /// Takes the attempts started out of the commands.
    fn take_started_attempts(&mut self) -> Vec<StartedAttempt> {
        let mut started = Vec::new();
        self.commands.retain(|command| match command {
            Command::StartAttempt {
                attempt,
                node,
                times_out_at,
                ..
            } => {
                started.push(StartedAttempt {
                    id: *attempt,
                    node: *node,
                    times_out_at: *times_out_at,
                });
                false
            }
            _ => true,
        });
        started
    }

    /// Takes the final responses out of the commands.
    fn take_responses(&mut self) -> Vec<Responded> {
        let mut responses = Vec::new();
        self.commands.retain(|command| match command {
            Command::Respond {
                reply_slot,
                response,
            } => {
                responses.push(Responded {
                    slot: reply_slot.slot.0,
                    response: response.clone(),
                });
                false
            }
            _ => true,
        });
        responses
    }

    fn mark_written(&mut self, attempt: AttemptId) {
        self.dispatcher.mark_written(attempt);
    }

    fn complete(&mut self, attempt: AttemptId, outcome: Outcome) {
        let body = (outcome == Outcome::Served).then(|| ResponseBody::Value(b"v".to_vec()));
        let result = AttemptResult {
            body,
            ..AttemptResult::without_body(outcome)
        };
        self.dispatcher
            .complete_attempt(attempt, result, self.now, &mut self.timers);
    }

    fn abort(&mut self, attempt: AttemptId, cause: AbortCause) {
        self.dispatcher
            .abort_attempt(attempt, cause, self.now, &mut self.timers);
    }
}

#[test]
fn an_aborted_write_is_rejected_before_its_first_byte_and_failed_after_it() {
    for (written, expect_rejected) in [(false, true), (true, false)] {
        let settings = settings(|settings| settings.permissions.max_attempts = 1);
        let mut harness = Harness::new(&settings, &[in_service("n", 0)]);
        harness.submit(Operation::Write, Some(0));
        harness.run_turn();
        let attempt = harness.take_started_attempts()[0].id;
        if written {
            harness.mark_written(attempt);
        }
        harness.abort(attempt, AbortCause::ConnectionLost);
        harness.run_turn();
        let responses = harness.take_responses();
        assert_eq!(responses.len(), 1);
        let rejected = matches!(responses[0].response, Response::Rejected { .. });
        assert_eq!(rejected, expect_rejected, "written: {written}");
    }
}

#[test]
fn nothing_is_written_to_a_draining_node_after_the_drain_grace() {
    let mut harness = Harness::new(&settings(|_| ()), &[in_service("n", 0)]);
    harness.submit(Operation::Read, Some(0));
    harness.run_turn();
    let node = harness.take_started_attempts()[0].node;
    let drained_at = harness.now;
    harness.update_endpoint(endpoint("n", 0, EndpointStatus::Draining));
    assert!(harness.dispatcher.may_write(node, drained_at + 400 * MS));
    // A later entry for the same drain does not extend the grace.
    harness.now = drained_at + 400 * MS;
    harness.update_endpoint(endpoint("n", 0, EndpointStatus::Removed));
    assert!(!harness.dispatcher.may_write(node, drained_at + 490 * MS));
    harness.now = drained_at + 500 * MS;
    harness.update_endpoint(EndpointRecord {
        started_at: Some(drained_at),
        ..in_service("n", 0)
    });
    assert!(harness.dispatcher.may_write(node, drained_at + 501 * MS));
}

/// The bound of `slow_start_units` in [`listings_keep_to_the_slow_start_budget_and_get_one_response_each`].
const SLOW_START_UNITS: f64 = 4.0;

/// Fails if more units were dispatched to a restarted node within its slow-start window than it can take.
fn assert_within_slow_start_budget(dispatched_at: &[Micros], restarted_at: Micros) {
    for at in dispatched_at {
        let window = *at..at + 2_000 * MS;
        let units = dispatched_at
            .iter()
            .filter(|other| window.contains(other))
            .count();
        // The node's guaranteed capacity grows from 0.2 of the full one to all of it within 17 s. Each window
        // counts with the capacity at its start.
        let grown = (at - restarted_at).max(0) as f64 / (17_000 * MS) as f64;
        let budget = SLOW_START_UNITS * (0.2 + 0.8 * grown) / 0.2;
        assert!(
            units as f64 <= budget,
            "{units} units within 2 s of a restart, the node takes {budget}"
        );
    }
}

#[test]
fn listings_keep_to_the_slow_start_budget_and_get_one_response_each() {
    const RESTARTED: NodeId = NodeId(1);
    let settings = settings(|settings| {
        settings.storage.slow_start_units = SLOW_START_UNITS;
        // Without reservations nothing may exceed the guaranteed capacity of a node that warms up.
        settings.plans[0].reservation = 0.0;
    });
    let mut harness = Harness::new(
        &settings,
        &[in_service("steady", 0), in_service("restarted", 1)],
    );
    let restarted_at = harness.now + 300 * MS;
    let mut submitted_slots = Vec::new();
    let mut responses_by_slot = BTreeMap::<u64, u32>::new();
    let mut dispatched_at = Vec::new();
    // Listings arrive all the time, each at both shards. The second node restarts meanwhile.
    for round in 0..600 {
        if round % 10 == 0 && round < 200 {
            for shard in [0, 1] {
                submitted_slots.push(harness.submit(Operation::List, Some(shard)).slot);
            }
        }
        if round == 30 {
            let started_at = Some(restarted_at);
            harness.update_endpoint(EndpointRecord {
                started_at,
                ..in_service("restarted", 1)
            });
        }
        harness.run_turn();
        for attempt in harness.take_started_attempts() {
            if attempt.node == RESTARTED && harness.now >= restarted_at {
                dispatched_at.push(harness.now);
            }
            // Attempts in flight when the node goes down are reset, the others are served.
            harness.mark_written(attempt.id);
            let goes_down = attempt.node == RESTARTED && round == 29;
            harness.complete(
                attempt.id,
                if goes_down {
                    Outcome::Reset
                } else {
                    Outcome::Served
                },
            );
        }
        for responded in harness.take_responses() {
            *responses_by_slot.entry(responded.slot).or_default() += 1;
        }
        harness.advance(10 * MS);
    }
    assert_within_slow_start_budget(&dispatched_at, restarted_at);
    assert!(
        !dispatched_at.is_empty(),
        "the restarted node gets its share"
    );
    assert_eq!(
        responses_by_slot.keys().copied().collect::<Vec<_>>(),
        submitted_slots
    );
    assert!(
        responses_by_slot.values().all(|count| *count == 1),
        "{responses_by_slot:?}"
    );
}

/// Nodes are replaced all day by new ones with new names, and clients name volumes that are never used again
/// on shards that no node stores: none of it may accumulate.
#[test]
fn removed_nodes_and_unused_volumes_are_forgotten() {
    let node = |number: u64| in_service(&format!("n{number}"), 0);
    let mut harness = Harness::new(&settings(|_| ()), &[node(0)]);
    for number in 1..500 {
        harness.submit(Operation::Read, Some(0));
        harness.run_turn();
        let attempt = harness.take_started_attempts()[0].id;
        let removed = EndpointRecord {
            status: EndpointStatus::Removed,
            ..node(number - 1)
        };
        let (kind, records) = if number % 2 == 0 {
            (EndpointListEvent::Snapshot, vec![node(number)])
        } else {
            (EndpointListEvent::Delta, vec![removed, node(number)])
        };
        harness
            .dispatcher
            .update_endpoints(kind, &records, harness.now);
        assert!(
            harness.dispatcher.nodes().count() <= 2,
            "the removed node has an attempt in flight"
        );
        harness.mark_written(attempt);
        harness.complete(attempt, Outcome::Served);
        harness.run_turn();
        let responses = harness.take_responses();
        let served = responses
            .iter()
            .filter(|responded| matches!(responded.response, Response::Served(_)));
        assert_eq!(served.count(), 1);
        for _ in 0..3 {
            let unknown_shard = Some(1_000_000 + harness.submitted);
            let request = harness.new_request(Operation::Read, unknown_shard);
            harness.submit_request(StorageRequest {
                volume: VolumeId(1_000_000 + number),
                ..request
            });
        }
        harness.advance(2_000 * MS);
        let _ = harness.take_started_attempts();
    }
    harness.advance(100_000 * MS);
    harness
        .dispatcher
        .update_endpoints(EndpointListEvent::Delta, &[], harness.now);
    harness.advance(MS);
    let sizes = harness.dispatcher.state_sizes();
    assert!(
        sizes.nodes <= 1 && sizes.shards <= 1 && sizes.volumes <= 1,
        "{sizes:?}"
    );
    assert!(harness.dispatcher.volume_counters().len() <= 2_000);
}

/// A request with the client request id of another one in flight gets an error; neither ends the other.
#[test]
fn a_duplicate_client_request_id_is_invalid_until_the_first_request_is_done() {
    let mut harness = Harness::new(&settings(|_| ()), &[in_service("n", 0)]);
    let request = harness.new_request(Operation::Read, Some(0));
    let first = harness.submit_request(request.clone());
    let duplicate = harness.submit_request(request.clone());
    harness.run_turn();
    let responses = harness.take_responses();
    assert_eq!(responses.len(), 1);
    assert_eq!(responses[0].slot, duplicate.slot);
    assert_eq!(
        responses[0].response,
        Response::Invalid(InvalidRequest::DuplicateClientRequestId)
    );
    let attempt = harness.take_started_attempts()[0].id;
    harness.complete(attempt, Outcome::Served);
    harness.run_turn();
    let responses = harness.take_responses();
    assert_eq!(responses.len(), 1);
    assert_eq!(responses[0].slot, first.slot);
    assert!(matches!(responses[0].response, Response::Served(_)));
    harness.submit_request(request);
    harness.run_turn();
    assert_eq!(
        harness.take_started_attempts().len(),
        1,
        "an id is free again after its response"
    );
}

#[test]
fn the_reason_of_an_invalid_request_keeps_its_text() {
    let text = InvalidRequest::DuplicateClientRequestId.to_string();
    assert_eq!(text, "the id is that of an open request");
}

#[test]
fn requests_beyond_the_memory_budget_are_rejected() {
    let mut harness = Harness::new(&settings(|_| ()), &[in_service("n", 0)]);
    let capacity = MemoryBudget::from_memory_mb(MEMORY_MB).max_requests;
    for _ in 0..capacity + 5 {
        harness.submit(Operation::Read, Some(0));
    }
    harness.run_turn();
    let responses = harness.take_responses();
    assert_eq!(responses.len(), 5);
    for Responded { slot, response } in responses {
        assert!(
            slot > capacity as u64,
            "request {slot} is within the budget"
        );
        assert!(matches!(response, Response::Rejected { retry_after } if retry_after > 0));
    }
}

#[test]
fn an_attempt_without_a_result_is_abandoned_at_its_deadline() {
    let mut harness = Harness::new(&settings(|_| ()), &[in_service("n", 0)]);
    harness.submit(Operation::Read, Some(0));
    harness.run_turn();
    let started = harness.take_started_attempts();
    let StartedAttempt {
        id, times_out_at, ..
    } = started[0];
    harness.mark_written(id);
    harness.advance(times_out_at - 1 - harness.now);
    assert!(harness.dispatcher.is_awaiting(id));
    harness.advance(1);
    assert!(!harness.dispatcher.is_awaiting(id));
    let abandoned =
        |command: &Command| matches!(command, Command::AbandonAttempt(attempt) if *attempt == id);
    assert_eq!(
        harness
            .commands
            .iter()
            .filter(|command| abandoned(command))
            .count(),
        1
    );
}

/// A request that waits for a node is dropped when its client disconnects.
#[test]
fn a_client_request_id_is_free_again_after_its_client_has_disconnected() {
    const UNKNOWN_SHARD: u64 = 7;
    let mut harness = Harness::new(&settings(|_| ()), &[in_service("n", 0)]);
    let request = harness.new_request(Operation::Read, Some(UNKNOWN_SHARD));
    let first = harness.submit_request(request.clone());
    harness.run_turn();
    assert_eq!(harness.dispatcher.open_requests(), 1);
    harness
        .dispatcher
        .client_disconnected(first.id, harness.now, &mut harness.timers);
    harness.run_turn();
    assert_eq!(harness.dispatcher.open_requests(), 0);
    harness.submit_request(request);
    harness.run_turn();
    assert!(
        harness.take_responses().is_empty(),
        "the second request is in flight"
    );
    assert_eq!(harness.dispatcher.open_requests(), 1);
}

#[test]
fn the_counters_of_the_volumes_with_the_fewest_requests_are_evicted() {
    let mut harness = Harness::new(&settings(|_| ()), &[in_service("n", 0)]);
    for _ in 0..2 {
        harness.submit(Operation::Read, Some(0));
    }
    for volume in 0..2_500 {
        let request = harness.new_request(Operation::Read, Some(0));
        harness.submit_request(StorageRequest {
            volume: VolumeId(1_000_000 + volume),
            ..request
        });
    }
    let counters = harness.dispatcher.volume_counters();
    assert!(counters.len() <= 2_000);
    assert_eq!(
        counters[&DEFAULT_VOLUME].received, 2,
        "the volume with the most requests keeps its counters"
    );
}

/// Random requests, disconnects, drains and results, checked against what the dispatcher promises.
struct RandomLoad {
    seed: u64,
    random: RandomNumbers,
    harness: Harness,
    /// When the client of each request without a response gives up, by slot.
    client_deadlines: BTreeMap<u64, Micros>,
    /// Slots of the requests whose client has disconnected.
    disconnected: BTreeSet<u64>,
    writes: BTreeSet<RequestId>,
    /// Requests of which a byte that may take effect was written to a node.
    may_have_run: BTreeSet<RequestId>,
    in_flight: Vec<AttemptId>,
    draining: BTreeSet<u64>,
}

impl RandomLoad {
    const NODES: [&'static str; 3] = ["a", "b", "c"];

    fn new(seed: u64) -> RandomLoad {
        let endpoints: Vec<EndpointRecord> = Self::NODES
            .iter()
            .zip(0..)
            .map(|(name, shard)| in_service(name, shard))
            .collect();
        RandomLoad {
            seed,
            random: RandomNumbers::new(seed),
            harness: Harness::new(&settings(|_| ()), &endpoints),
            client_deadlines: BTreeMap::new(),
            disconnected: BTreeSet::new(),
            writes: BTreeSet::new(),
            may_have_run: BTreeSet::new(),
            in_flight: Vec::new(),
            draining: BTreeSet::new(),
        }
    }

    /// True in one of `count` cases.
    fn one_in(&mut self, count: u64) -> bool {
        self.random.below(count) == 0
    }

    /// Submits a request; the client of one in twelve disconnects at once.
    fn submit(&mut self) {
        let operation = if self.one_in(3) {
            Operation::Write
        } else {
            Operation::Read
        };
        let shard = self.random.below(3);
        let shard = if self.one_in(4) { None } else { Some(shard) };
        let Submitted { slot, id } = self.harness.submit(operation, shard);
        self.client_deadlines
            .insert(slot, self.harness.now + CLIENT_WAIT);
        if operation == Operation::Write {
            self.writes.insert(id);
        }
        if self.one_in(12) {
            let harness = &mut self.harness;
            harness
                .dispatcher
                .client_disconnected(id, harness.now, &mut harness.timers);
            self.disconnected.insert(slot);
        }
    }

    /// Lets a node drain, or brings a draining one back into service.
    fn toggle_draining(&mut self) {
        let node = self.random.below(3);
        let drains = !self.draining.remove(&node);
        if drains {
            self.draining.insert(node);
        }
        let status = if drains {
            EndpointStatus::Draining
        } else {
            EndpointStatus::InService
        };
        self.harness
            .update_endpoint(endpoint(Self::NODES[node as usize], node, status));
    }

    /// Checks the attempts started and writes most of them to their node.
    fn write_started_attempts(&mut self) {
        let seed = self.seed;
        for StartedAttempt { id, node, .. } in self.harness.take_started_attempts() {
            assert!(
                !self.draining.contains(&node.0),
                "seed {seed}: an attempt at a draining node"
            );
            let is_write = self.writes.contains(&id.request);
            let repeated = is_write && self.may_have_run.contains(&id.request);
            assert!(
                !repeated,
                "seed {seed}: a write that may have run is dispatched again"
            );
            if !self.one_in(4) {
                self.harness.mark_written(id);
                self.may_have_run.insert(id.request);
            }
            self.in_flight.push(id);
        }
    }

    /// Ends a random number of the attempts in flight.
    fn end_some_attempts(&mut self) {
        while !self.in_flight.is_empty() && !self.one_in(3) {
            let position = self.random.below(self.in_flight.len() as u64);
            let attempt = self.in_flight.swap_remove(position as usize);
            let written = self.may_have_run.contains(&attempt.request);
            match self.random.below(6) {
                0 => self.harness.abort(attempt, AbortCause::ConnectionLost),
                // The node never responds: the timeout ends the attempt.
                1 => {}
                2 if !self.writes.contains(&attempt.request) => {
                    self.harness.complete(attempt, Outcome::Overloaded);
                }
                3 if written => self.harness.complete(attempt, Outcome::Error),
                _ if written => self.harness.complete(attempt, Outcome::Served),
                _ => self.harness.complete(attempt, Outcome::ConnectFailed),
            }
        }
    }

    /// Checks that each response is the only one, in time and to a client that is still connected.
    fn check_responses(&mut self) {
        let seed = self.seed;
        for Responded { slot, .. } in self.harness.take_responses() {
            let Some(client_deadline) = self.client_deadlines.remove(&slot) else {
                panic!("seed {seed}: a second response to {slot}");
            };
            let disconnected = self.disconnected.contains(&slot);
            assert!(
                !disconnected,
                "seed {seed}: a response to {slot}, whose client has disconnected"
            );
            assert!(
                self.harness.now <= client_deadline + 20 * MS,
                "seed {seed}: {slot} is late"
            );
        }
    }

    fn step(&mut self, submits: bool) {
        if submits && self.one_in(2) {
            self.submit();
        }
        if self.one_in(60) {
            self.toggle_draining();
        }
        let span = self.random.below(20) as Micros * MS;
        self.harness.advance(span);
        self.write_started_attempts();
        self.end_some_attempts();
        self.check_responses();
    }

    /// Fails every further attempt until each request has got its response.
    fn run_to_completion(&mut self) {
        let seed = self.seed;
        for _ in 0..700 {
            self.harness.advance(10 * MS);
            for Responded { slot, .. } in self.harness.take_responses() {
                let first = self.client_deadlines.remove(&slot).is_some();
                assert!(first, "seed {seed}: a second response to {slot}");
            }
            for attempt in self.harness.take_started_attempts() {
                self.harness.complete(attempt.id, Outcome::ConnectFailed);
            }
        }
        self.client_deadlines
            .retain(|slot, _| !self.disconnected.contains(slot));
        assert!(
            self.client_deadlines.is_empty(),
            "seed {seed}: no response to {:?}",
            self.client_deadlines
        );
        assert_eq!(self.harness.dispatcher.open_requests(), 0);
    }
}

/// Whatever happens, from fixed seeds: each request gets exactly one response in time, no write is dispatched
/// again after it may have run, and no attempt starts at a draining node.
#[test]
fn every_request_gets_exactly_one_response_whatever_happens() {
    for seed in 1..=8 {
        let mut load = RandomLoad::new(seed);
        for step in 0..3_000 {
            load.step(step < 2_000);
        }
        load.run_to_completion();
    }
}
