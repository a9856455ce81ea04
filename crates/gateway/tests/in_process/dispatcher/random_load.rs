//! Random requests, disconnects, drains and results, checked against what the dispatcher promises.

use super::harness::{
    endpoint, in_service, Harness, Responded, StartedAttempt, Submitted, CLIENT_TIMEOUT, MS,
};
use crate::support::random_numbers::RandomNumbers;
use crate::support::settings::deployment_settings;
use io_scheduler::{EndpointStatus, Micros, Outcome, RequestId};
use std::collections::{BTreeMap, BTreeSet};
use storage_gateway::dispatcher::AbortCause;
use storage_gateway::endpoint::EndpointRecord;
use storage_gateway::storage_request::{AttemptId, Operation};

/// Random requests, disconnects, drains and results, checked against what the dispatcher promises.
struct RandomLoad {
    seed: u64,
    random: RandomNumbers,
    harness: Harness,
    /// When the client of each request without a response gives up, by slot.
    client_deadlines: BTreeMap<u64, Micros>,
    /// Slots of the requests whose client has disconnected.
    disconnected: BTreeSet<u64>,
    /// Requests that write.
    writes: BTreeSet<RequestId>,
    /// Requests that a node may have executed.
    may_have_executed: BTreeSet<RequestId>,
    /// Attempts that the test has not ended.
    in_flight: Vec<AttemptId>,
    /// Nodes that drain, by the number of their shard.
    draining: BTreeSet<u64>,
}

impl RandomLoad {
    /// The names of the nodes, each of the shard of its index.
    const NODES: [&'static str; 3] = ["a", "b", "c"];

    /// A load whose random numbers follow from the seed.
    fn new(seed: u64) -> RandomLoad {
        let endpoints: Vec<EndpointRecord> = Self::NODES
            .iter()
            .zip(0..)
            .map(|(name, shard)| in_service(name, shard))
            .collect();
        RandomLoad {
            seed,
            random: RandomNumbers::new(seed),
            harness: Harness::new(&deployment_settings(), &endpoints),
            client_deadlines: BTreeMap::new(),
            disconnected: BTreeSet::new(),
            writes: BTreeSet::new(),
            may_have_executed: BTreeSet::new(),
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
            .insert(slot, self.harness.now + CLIENT_TIMEOUT);
        if operation == Operation::Write {
            self.writes.insert(id);
        }
        if self.one_in(12) {
            let harness = &mut self.harness;
            harness
                .dispatcher
                .record_response_not_needed(id, harness.now, &mut harness.timers);
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
            let repeated = is_write && self.may_have_executed.contains(&id.request);
            assert!(
                !repeated,
                "seed {seed}: a write that may have run is dispatched again"
            );
            if !self.one_in(4) {
                self.harness.record_may_have_executed(id);
                self.may_have_executed.insert(id.request);
            }
            self.in_flight.push(id);
        }
    }

    /// Ends a random number of the attempts in flight.
    fn end_some_attempts(&mut self) {
        while !self.in_flight.is_empty() && !self.one_in(3) {
            let position = self.random.below(self.in_flight.len() as u64);
            let attempt = self.in_flight.swap_remove(position as usize);
            let written = self.may_have_executed.contains(&attempt.request);
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

    /// Lets a short time pass, in which anything may happen; new requests only if `submits`.
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

/// Whatever happens, from fixed seeds: each request gets exactly one response in time, no write is
/// dispatched again after it may have run, and no attempt starts at a draining node.
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
