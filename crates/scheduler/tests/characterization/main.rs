//! Characterization tests of the scheduler's decisions: each scenario simulates clients, nodes and
//! the discovery service for a few thousand requests with fixed seeds, and compares a digest of the
//! scheduler's decisions with the one in a snapshot file.
//!
//! A different digest means that at least one decision changed; the counts in the snapshot show
//! which kind of decision. Only `scheduler_adapter` names items of the crate, so a change of the
//! crate's API needs changes in that file alone.

mod churn;
mod cluster;
mod rng;
mod scenarios;
mod scheduler_adapter;
mod simulation;
mod summary;
mod traffic;
mod types;

use scenarios::Scenario;

/// Seeds with which each scenario is run.
const SEEDS: [u64; 2] = [1, 2];

/// Runs a scenario with each seed and compares the digests and counts with the snapshot file.
fn assert_matches_snapshot(name: &str, scenario: &Scenario) {
    let mut report = String::new();
    for seed in SEEDS {
        report.push_str(&simulation::run(scenario, seed).report(seed));
    }
    insta::assert_snapshot!(name, report);
}

macro_rules! characterization_tests {
    ($($name:ident),* $(,)?) => {$(
        #[test]
        fn $name() {
            assert_matches_snapshot(stringify!($name), &scenarios::$name());
        }
    )*};
}

characterization_tests!(
    baseline,
    limits,
    reservations,
    slow_start,
    retry_budget,
    ordering,
    ordering_without_cancellation,
    deduplication_at_all_nodes,
    deduplication_within_a_zone,
    deduplication_within_a_shard,
    non_idempotent_requests,
    usage_reports,
    discovery_by_poll,
    discovery_by_watch,
    discovery_by_watch_with_many_hosts,
    small_cluster_with_faults,
    large_cluster_with_faults,
    single_node,
    zero_settings,
    sizes_and_priorities,
    always_slow_nodes,
    membership_churn,
    idle_volumes,
);
