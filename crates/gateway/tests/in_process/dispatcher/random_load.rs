//! Random requests, client disconnects, draining nodes and results of attempts. The test checks the
//! guarantees of the dispatcher after each step.

use super::harness::{
    endpoint_record, in_service_record, FinalResponse, Harness, StartedAttempt, SubmittedRequest,
    CLIENT_TIMEOUT, MS,
};
use crate::support::random_numbers::RandomNumbers;
use crate::support::settings::deployment_settings;
use io_scheduler::{EndpointStatus, Micros, Outcome, RequestId};
use std::collections::{BTreeMap, BTreeSet};
use storage_gateway::dispatcher::AbortCause;
use storage_gateway::endpoint::EndpointRecord;
use storage_gateway::storage_request::{AttemptId, Operation};

/// Generates the load, and records what is needed to check the guarantees of the dispatcher.
struct RandomLoad {
    /// Seed of `random`; printed by failed assertions.
    seed: u64,
    /// Generator of all random choices.
    random: RandomNumbers,
    /// The dispatcher under test.
    harness: Harness,
    /// Deadlines of the clients whose requests have no response yet, by reply slot.
    client_deadlines: BTreeMap<u64, Micros>,
    /// Reply slots of the requests whose client has disconnected.
    disconnected_slots: BTreeSet<u64>,
    /// Write requests.
    write_requests: BTreeSet<RequestId>,
    /// Requests that a node may have executed.
    may_have_executed: BTreeSet<RequestId>,
    /// Attempts in flight that the test has not ended yet.
    in_flight: Vec<AttemptId>,
    /// Shards of the draining nodes, which are also the ids of these nodes.
    draining_shards: BTreeSet<u64>,
}

impl RandomLoad {
    /// Names of the nodes. The index of a name is the shard of its node.
    const NODE_NAMES: [&'static str; 3] = ["a", "b", "c"];

    /// Creates a load that is reproducible from `seed`.
    fn new(seed: u64) -> RandomLoad {
        let endpoints: Vec<EndpointRecord> = Self::NODE_NAMES
            .iter()
            .zip(0..)
            .map(|(name, shard)| in_service_record(name, shard))
            .collect();
        RandomLoad {
            seed,
            random: RandomNumbers::new(seed),
            harness: Harness::new(&deployment_settings(), &endpoints),
            client_deadlines: BTreeMap::new(),
            disconnected_slots: BTreeSet::new(),
            write_requests: BTreeSet::new(),
            may_have_executed: BTreeSet::new(),
            in_flight: Vec::new(),
            draining_shards: BTreeSet::new(),
        }
    }

    /// Returns true with a probability of one in `count`.
    fn one_in(&mut self, count: u64) -> bool {
        self.random.below(count) == 0
    }

    /// Submits a read or a write. The client of one request in twelve disconnects immediately.
    fn submit(&mut self) {
        let operation = if self.one_in(3) {
            Operation::Write
        } else {
            Operation::Read
        };
        let shard = self.random.below(3);
        let shard = if self.one_in(4) { None } else { Some(shard) };
        let SubmittedRequest { slot, id } = self.harness.submit(operation, shard);
        self.client_deadlines
            .insert(slot, self.harness.now + CLIENT_TIMEOUT);
        if operation == Operation::Write {
            self.write_requests.insert(id);
        }
        if self.one_in(12) {
            let harness = &mut self.harness;
            harness
                .dispatcher
                .record_response_not_needed(id, harness.now, &mut harness.timers);
            self.disconnected_slots.insert(slot);
        }
    }

    /// Changes a random node from in service to draining, or from draining to in service.
    fn toggle_draining(&mut self) {
        let shard = self.random.below(3);
        let starts_draining = !self.draining_shards.remove(&shard);
        if starts_draining {
            self.draining_shards.insert(shard);
        }
        let status = if starts_draining {
            EndpointStatus::Draining
        } else {
            EndpointStatus::InService
        };
        self.harness.update_endpoint(endpoint_record(
            Self::NODE_NAMES[shard as usize],
            shard,
            status,
        ));
    }

    /// Checks the started attempts, and reports for three in four of them that the node may have
    /// executed the request.
    fn check_started_attempts(&mut self) {
        let seed = self.seed;
        for StartedAttempt { id, node, .. } in self.harness.take_started_attempts() {
            assert!(
                !self.draining_shards.contains(&node.0),
                "seed {seed}: an attempt was started at a draining node"
            );
            let is_write = self.write_requests.contains(&id.request);
            let is_unsafe_retry = is_write && self.may_have_executed.contains(&id.request);
            assert!(
                !is_unsafe_retry,
                "seed {seed}: a write was retried that a node may have executed"
            );
            if !self.one_in(4) {
                self.harness.record_may_have_executed(id);
                self.may_have_executed.insert(id.request);
            }
            self.in_flight.push(id);
        }
    }

    /// Ends a random number of the attempts in flight, each with a random outcome.
    fn end_some_attempts(&mut self) {
        while !self.in_flight.is_empty() && !self.one_in(3) {
            let index = self.random.below(self.in_flight.len() as u64);
            let attempt = self.in_flight.swap_remove(index as usize);
            let may_have_executed = self.may_have_executed.contains(&attempt.request);
            match self.random.below(6) {
                0 => self.harness.abort(attempt, AbortCause::ConnectionLost),
                // The node never responds; the attempt times out.
                1 => {}
                2 if !self.write_requests.contains(&attempt.request) => {
                    self.harness.complete(attempt, Outcome::Overloaded);
                }
                3 if may_have_executed => self.harness.complete(attempt, Outcome::Error),
                _ if may_have_executed => self.harness.complete(attempt, Outcome::Served),
                _ => self.harness.complete(attempt, Outcome::ConnectFailed),
            }
        }
    }

    /// Checks that each response is the only one to its request, is sent to a client that has not
    /// disconnected, and is at most 20 ms later than the client's timeout.
    fn check_responses(&mut self) {
        let seed = self.seed;
        for FinalResponse { slot, .. } in self.harness.take_responses() {
            let Some(client_deadline) = self.client_deadlines.remove(&slot) else {
                panic!("seed {seed}: second response for slot {slot}");
            };
            let disconnected = self.disconnected_slots.contains(&slot);
            assert!(
                !disconnected,
                "seed {seed}: response for slot {slot}, whose client has disconnected"
            );
            assert!(
                self.harness.now <= client_deadline + 20 * MS,
                "seed {seed}: late response for slot {slot}"
            );
        }
    }

    /// Advances the clock by less than 20 ms, with random events before and after. Submits new
    /// requests only if `may_submit` is set.
    fn step(&mut self, may_submit: bool) {
        if may_submit && self.one_in(2) {
            self.submit();
        }
        if self.one_in(60) {
            self.toggle_draining();
        }
        let duration = self.random.below(20) as Micros * MS;
        self.harness.advance(duration);
        self.check_started_attempts();
        self.end_some_attempts();
        self.check_responses();
    }

    /// Advances the clock by 7 s, which is longer than the timeout of the clients, and fails every
    /// further attempt. Then checks that no request is left without a response.
    fn run_to_completion(&mut self) {
        let seed = self.seed;
        for _ in 0..700 {
            self.harness.advance(10 * MS);
            for FinalResponse { slot, .. } in self.harness.take_responses() {
                let is_first = self.client_deadlines.remove(&slot).is_some();
                assert!(is_first, "seed {seed}: second response for slot {slot}");
            }
            for attempt in self.harness.take_started_attempts() {
                self.harness.complete(attempt.id, Outcome::ConnectFailed);
            }
        }
        self.client_deadlines
            .retain(|slot, _| !self.disconnected_slots.contains(slot));
        assert!(
            self.client_deadlines.is_empty(),
            "seed {seed}: no response for these slots: {:?}",
            self.client_deadlines
        );
        assert_eq!(self.harness.dispatcher.open_requests(), 0);
    }
}

/// Checks three guarantees under random loads from fixed seeds: each request gets exactly one
/// response, and in time, unless its client disconnects; a write is not retried after a node may
/// have executed it; and no attempt is started at a draining node.
#[test]
fn every_request_gets_exactly_one_response_under_random_load() {
    for seed in 1..=8 {
        let mut load = RandomLoad::new(seed);
        for step in 0..3_000 {
            load.step(step < 2_000);
        }
        load.run_to_completion();
    }
}
