//! Characterization of the scheduler's decisions: a seeded simulation of clients, nodes and the
//! discovery service plays some thousand requests for each of several deployments, and the stream
//! of decisions is compared with a stored digest.
//!
//! A digest that differs says that some decision moved; the counts beside it say of which kind.
//! Only `interface` names items of the crate, so a change of its API leaves all else untouched.

mod churn;
mod cluster;
mod driver;
mod interface;
mod plain;
mod random;
mod record;
mod scenarios;
mod traffic;

use scenarios::Scenario;

/// Seeds with which each scenario is played.
const SEEDS: [u64; 2] = [1, 2];

/// Plays a scenario with each seed and compares digests and counts with the stored ones.
fn check(name: &str, scenario: &Scenario) {
    let mut report = String::new();
    for seed in SEEDS {
        report.push_str(&driver::play(scenario, seed).report(seed));
    }
    insta::assert_snapshot!(name, report);
}

macro_rules! characterize {
    ($($name:ident),* $(,)?) => {$(
        #[test]
        fn $name() {
            check(stringify!($name), &scenarios::$name());
        }
    )*};
}

characterize!(
    plain_service,
    limits,
    reservations,
    slow_start,
    retry_budget,
    ordering,
    ordering_without_cancellation,
    idempotency_key_at_all_nodes,
    idempotency_key_in_a_zone,
    idempotency_key_at_a_shard,
    non_idempotent,
    usage_reports,
    discovery_by_poll,
    discovery_by_watch,
    discovery_by_many_hosts,
    few_faulty_nodes,
    many_faulty_nodes,
    single_node,
    zero_settings,
    sizes_and_priorities,
    sluggish_nodes,
    churn,
    idle_volumes,
);
