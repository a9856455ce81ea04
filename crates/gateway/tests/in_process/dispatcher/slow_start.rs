//! Slow start: the bound on the units dispatched to a node that is warming up.

use super::harness::{in_service_record, settings_with, Harness, MS};
use io_scheduler::{Micros, NodeId, Outcome};
use std::collections::BTreeMap;
use storage_gateway::endpoint::EndpointRecord;
use storage_gateway::storage_request::Operation;

/// Units that a node can process in the first slow-start window, of 2 s, after its restart.
const SLOW_START_UNITS: f64 = 4.0;

/// Checks that in each window of 2 s the units dispatched to the restarted node do not exceed its
/// slow-start quota. `dispatch_times` contains the time of each dispatched unit.
fn assert_within_slow_start_quota(dispatch_times: &[Micros], restarted_at: Micros) {
    for start in dispatch_times {
        let window = *start..start + 2_000 * MS;
        let units = dispatch_times
            .iter()
            .filter(|time| window.contains(time))
            .count();
        // The node's capacity grows linearly from 0.2 of its full capacity to all of it within
        // 17 s. The quota of a window depends on the capacity at the start of the window.
        let growth = (start - restarted_at).max(0) as f64 / (17_000 * MS) as f64;
        let quota = SLOW_START_UNITS * (0.2 + 0.8 * growth) / 0.2;
        assert!(
            units as f64 <= quota,
            "{units} units were dispatched within 2 s; the slow-start quota is {quota}"
        );
    }
}

/// The node that restarts while listings arrive.
const RESTARTED_NODE: NodeId = NodeId(1);
/// Time from the start of the test to the restart of the node.
const RESTART_DELAY: Micros = 300 * MS;
/// Time between two rounds of the load.
const ROUND_INTERVAL: Micros = 10 * MS;

/// Listings of two shards with one node each. The node of the second shard restarts.
struct ListingLoad {
    /// The dispatcher under test.
    harness: Harness,
    /// Time at which the node restarts.
    restarted_at: Micros,
    /// Reply slots of the requests, in the order in which they were submitted.
    submitted_slots: Vec<u64>,
    /// Number of responses to each request, by reply slot.
    response_counts: BTreeMap<u64, u32>,
    /// Times at which units were dispatched to the restarted node after its restart. Each request
    /// costs one unit.
    dispatch_times: Vec<Micros>,
}

impl ListingLoad {
    /// Creates a load on two nodes that are in service.
    fn new() -> ListingLoad {
        let settings = settings_with(|settings| {
            settings.storage.slow_start_units = SLOW_START_UNITS;
            // Without a reservation, requests beyond the provisioned rate may use only half of the
            // host's slow-start quota.
            settings.plans[0].reservation = 0.0;
        });
        let nodes = [
            in_service_record("steady", 0),
            in_service_record("restarted", 1),
        ];
        let harness = Harness::new(&settings, &nodes);
        ListingLoad {
            restarted_at: harness.now + RESTART_DELAY,
            harness,
            submitted_slots: Vec::new(),
            response_counts: BTreeMap::new(),
            dispatch_times: Vec::new(),
        }
    }

    /// Submits a listing: one request for each of the two shards.
    fn submit_listing(&mut self) {
        for shard in [0, 1] {
            let submitted = self.harness.submit(Operation::List, Some(shard));
            self.submitted_slots.push(submitted.slot);
        }
    }

    /// Updates the endpoint list with the time at which the node restarted.
    fn restart_node(&mut self) {
        self.harness.update_endpoint(EndpointRecord {
            started_at: Some(self.restarted_at),
            ..in_service_record("restarted", 1)
        });
    }

    /// Ends the attempts that have started. If `node_stops` is set, the attempts at the node that
    /// restarts are reset; all others are served.
    fn end_attempts(&mut self, node_stops: bool) {
        for attempt in self.harness.take_started_attempts() {
            if attempt.node == RESTARTED_NODE && self.harness.now >= self.restarted_at {
                self.dispatch_times.push(self.harness.now);
            }
            self.harness.record_may_have_executed(attempt.id);
            let outcome = if attempt.node == RESTARTED_NODE && node_stops {
                Outcome::Reset
            } else {
                Outcome::Served
            };
            self.harness.complete(attempt.id, outcome);
        }
    }

    /// Counts the responses that the dispatcher has issued.
    fn count_responses(&mut self) {
        for final_response in self.harness.take_responses() {
            *self.response_counts.entry(final_response.slot).or_default() += 1;
        }
    }
}

/// While a restarted node warms up, the listings of its shard must not exceed its slow-start
/// quota, and each request must still get exactly one response.
#[test]
fn listings_stay_within_the_slow_start_quota_and_get_one_response_each() {
    let mut load = ListingLoad::new();
    // A listing of both shards arrives every 100 ms for 2 s. The second node stops in round 29, and
    // the endpoint list shows its restart in round 30.
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
        load.harness.advance(ROUND_INTERVAL);
    }
    assert_within_slow_start_quota(&load.dispatch_times, load.restarted_at);
    assert!(
        !load.dispatch_times.is_empty(),
        "some units should be dispatched to the restarted node"
    );
    let responded_slots: Vec<u64> = load.response_counts.keys().copied().collect();
    assert_eq!(responded_slots, load.submitted_slots);
    assert!(
        load.response_counts.values().all(|count| *count == 1),
        "{:?}",
        load.response_counts
    );
}
