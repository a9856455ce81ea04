//! Nodes that warm up.

use super::harness::{in_service, settings_with, Harness, MS};
use io_scheduler::{Micros, NodeId, Outcome};
use std::collections::BTreeMap;
use storage_gateway::endpoint::EndpointRecord;
use storage_gateway::storage_request::Operation;

/// The bound of `slow_start_units` in
/// [`listings_keep_to_the_slow_start_budget_and_get_one_response_each`].
const SLOW_START_UNITS: f64 = 4.0;

/// Fails if more units were dispatched to a restarted node within its slow-start window than it
/// can take.
fn assert_within_slow_start_budget(dispatched_at: &[Micros], restarted_at: Micros) {
    for at in dispatched_at {
        let window = *at..at + 2_000 * MS;
        let units = dispatched_at
            .iter()
            .filter(|other| window.contains(other))
            .count();
        // The node's guaranteed capacity grows from 0.2 of the full one to all of it within 17 s.
        // Each window counts with the capacity at its start.
        let grown = (at - restarted_at).max(0) as f64 / (17_000 * MS) as f64;
        let budget = SLOW_START_UNITS * (0.2 + 0.8 * grown) / 0.2;
        assert!(
            units as f64 <= budget,
            "{units} units within 2 s of a restart, the node takes {budget}"
        );
    }
}

/// The node that restarts while listings arrive.
const RESTARTED: NodeId = NodeId(1);
/// When it restarts, after the start of the test.
const RESTART_AFTER: Micros = 300 * MS;
/// Time between two rounds of a load.
const ROUND: Micros = 10 * MS;

/// Listings at two shards, of which the node of the second one restarts.
struct ListingLoad {
    harness: Harness,
    /// When the node restarts.
    restarted_at: Micros,
    /// Slots of the requests, in the order in which they were submitted.
    submitted_slots: Vec<u64>,
    /// Number of responses to each request, by slot.
    response_counts: BTreeMap<u64, u32>,
    /// When units were dispatched to the restarted node after its restart.
    dispatched_at: Vec<Micros>,
}

impl ListingLoad {
    /// A load on two nodes in service.
    fn new() -> ListingLoad {
        let settings = settings_with(|settings| {
            settings.storage.slow_start_units = SLOW_START_UNITS;
            // Without reservations nothing may exceed the guaranteed capacity of a node that warms
            // up.
            settings.plans[0].reservation = 0.0;
        });
        let nodes = [in_service("steady", 0), in_service("restarted", 1)];
        let harness = Harness::new(&settings, &nodes);
        ListingLoad {
            restarted_at: harness.now + RESTART_AFTER,
            harness,
            submitted_slots: Vec::new(),
            response_counts: BTreeMap::new(),
            dispatched_at: Vec::new(),
        }
    }

    /// Submits a listing of both shards.
    fn submit_listing(&mut self) {
        for shard in [0, 1] {
            let submitted = self.harness.submit(Operation::List, Some(shard));
            self.submitted_slots.push(submitted.slot);
        }
    }

    /// Passes on that the node has restarted.
    fn restart_node(&mut self) {
        self.harness.update_endpoint(EndpointRecord {
            started_at: Some(self.restarted_at),
            ..in_service("restarted", 1)
        });
    }

    /// Ends the attempts that have started. Those in flight when the node goes down are reset, the
    /// others are served.
    fn end_attempts(&mut self, goes_down: bool) {
        for attempt in self.harness.take_started_attempts() {
            if attempt.node == RESTARTED && self.harness.now >= self.restarted_at {
                self.dispatched_at.push(self.harness.now);
            }
            self.harness.record_may_have_executed(attempt.id);
            let outcome = if attempt.node == RESTARTED && goes_down {
                Outcome::Reset
            } else {
                Outcome::Served
            };
            self.harness.complete(attempt.id, outcome);
        }
    }

    /// Counts the responses that were given.
    fn count_responses(&mut self) {
        for responded in self.harness.take_responses() {
            *self.response_counts.entry(responded.slot).or_default() += 1;
        }
    }
}

#[test]
fn listings_keep_to_the_slow_start_budget_and_get_one_response_each() {
    let mut load = ListingLoad::new();
    // Listings arrive all the time, each at both shards. The second node restarts meanwhile.
    for round in 0..600 {
        if round % 10 == 0 && round < 200 {
            load.submit_listing();
        }
        if round == 30 {
            load.restart_node();
        }
        load.harness.run_turn();
        load.end_attempts(round == 29);
        load.count_responses();
        load.harness.advance(ROUND);
    }
    assert_within_slow_start_budget(&load.dispatched_at, load.restarted_at);
    assert!(
        !load.dispatched_at.is_empty(),
        "the restarted node gets its share"
    );
    let answered_slots: Vec<u64> = load.response_counts.keys().copied().collect();
    assert_eq!(answered_slots, load.submitted_slots);
    assert!(
        load.response_counts.values().all(|count| *count == 1),
        "{:?}",
        load.response_counts
    );
}
