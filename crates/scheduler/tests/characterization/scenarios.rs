//! Scenarios of the characterization tests: settings, nodes and clients of each run.

use crate::churn::Churn;
use crate::cluster::{Cluster, NodeFault};
use crate::traffic::Traffic;
use crate::types::{
    Class, DedupScope, Deployment, Idempotency, Micros, Plan, RetryBudget, SlowStart,
};
use crate::types::{MILLISECOND, SECOND};

/// How the host gets the endpoint list.
#[derive(Clone, Copy, PartialEq)]
pub enum Discovery {
    /// The discovery service pushes the list; the host sends no polls.
    Pushed,
    /// Each poll returns the list once, and the next poll is due after an interval.
    Polled {
        /// Time from the response to a poll until the next poll is due.
        interval: Micros,
    },
    /// A poll opens a watch, which is lost after a random time.
    Watched {
        /// Mean time from the start of a watch until it is lost.
        mean: Micros,
    },
}

/// Settings and environment of a run.
#[derive(Clone)]
pub struct Scenario {
    /// Settings of the scheduler.
    pub deployment: Deployment,
    /// Nodes at the start of the run.
    pub cluster: Cluster,
    /// Changes of the nodes during the run.
    pub churn: Churn,
    /// Requests of the clients.
    pub traffic: Traffic,
    /// How the host gets the endpoint list.
    pub discovery: Discovery,
    /// Attempts end at multiples of this time, so that several end at the same time.
    pub completion_granularity: Micros,
    /// Number of timers per thousand that fire late.
    pub late_timers_per_mille: u64,
}

/// Every kind of fault, with two degrees of slowness.
const ALL_FAULTS: &[NodeFault] = &[
    NodeFault::Slow(4),
    NodeFault::Slow(40),
    NodeFault::Unresponsive,
    NodeFault::Unreachable,
    NodeFault::ResetsConnections,
    NodeFault::ReturnsErrors,
    NodeFault::Lossy,
    NodeFault::Overloaded,
];

fn unordered_class(
    latency_objective: Micros,
    priority_weight: f64,
    idempotency: Idempotency,
) -> Class {
    Class {
        latency_objective,
        priority_weight,
        idempotency,
        ordered: false,
    }
}

fn ordered_class(latency_objective: Micros, idempotency: Idempotency) -> Class {
    Class {
        ordered: true,
        ..unordered_class(latency_objective, 1.0, idempotency)
    }
}

fn plan(reservation: f64, weight: f64, limit: f64, provisioned_rate: f64) -> Plan {
    Plan {
        reservation,
        weight,
        limit,
        burst_capacity: limit * 0.6,
        provisioned_rate,
    }
}

/// Nodes at which a small fraction of the attempts fails, with every kind of failure.
fn cluster_with_random_failures(idle_latency: Micros, shard_count: u64) -> Cluster {
    Cluster {
        shard_count,
        zone_count: 2,
        idle_latency,
        max_attempts_in_flight: 6,
        lost_per_mille: 20,
        reset_per_mille: 15,
        connect_failed_per_mille: 15,
        error_per_mille: 20,
        cancelled_per_mille: 5,
        not_dispatched_per_mille: 5,
        start_times_known: false,
    }
}

/// One host, bursts of requests at random intervals, few failed attempts, and from time to time a
/// slow or unresponsive node. The other scenarios are variations of this one.
pub fn baseline() -> Scenario {
    Scenario {
        deployment: baseline_deployment(),
        cluster: Cluster {
            max_attempts_in_flight: 20,
            reset_per_mille: 2,
            connect_failed_per_mille: 2,
            error_per_mille: 3,
            cancelled_per_mille: 0,
            not_dispatched_per_mille: 1,
            ..cluster_with_random_failures(12 * MILLISECOND, 12)
        },
        churn: Churn {
            mean_membership_interval: 0,
            mean_fault_interval: 3 * SECOND,
            faults: &[NodeFault::Slow(4), NodeFault::Unresponsive],
            all_nodes_per_mille: 0,
        },
        traffic: baseline_traffic(),
        discovery: Discovery::Pushed,
        completion_granularity: 1,
        late_timers_per_mille: 50,
    }
}

fn baseline_deployment() -> Deployment {
    Deployment {
        classes: vec![unordered_class(
            500 * MILLISECOND,
            1.0,
            Idempotency::Idempotent,
        )],
        plans: vec![plan(0.0, 1.0, 0.0, 100.0), plan(0.0, 3.0, 0.0, 300.0)],
        host_count: 1,
        max_attempts: 3,
        cancellation_allowed: true,
        discovery_clients: 0,
        max_poll_interval: 0,
        slow_start: SlowStart {
            initial_capacity: 0.2,
            duration: 8 * SECOND,
            window: SECOND,
            burst_factor: 3.0,
            initial_units_per_window: 20.0,
        },
        quiesce_period: 0,
        retry_budget: None,
        mean_units: 2.0,
        max_units: 6.0,
        usage_report_period: 0,
        reports_remote_units: false,
        provisioned_value: 0.35,
        surplus_value: 0.1,
    }
}

fn baseline_traffic() -> Traffic {
    Traffic {
        request_count: 2_500,
        mean_burst_interval: 8 * MILLISECOND,
        max_burst: 6,
        volume_count: 5,
        host_counts: &[1.0],
        key_count: 40,
        with_key_per_mille: 300,
        without_shard_per_mille: 250,
        unit_sizes: &[1.0, 2.0, 2.0, 3.0],
        min_client_timeout: 300 * MILLISECOND,
        max_client_timeout: 3 * SECOND,
        invalid_or_extreme_per_mille: 20,
        plan_changes_per_mille: 0,
        client_retries_per_mille: 300,
        disconnects_per_mille: 60,
        response_before_end_per_mille: 50,
        closed_after_failure_per_mille: 10,
        pause: 0,
    }
}

/// Plans with limits and bursts, and volumes whose plan and number of hosts change.
pub fn limits() -> Scenario {
    let mut scenario = baseline();
    scenario.deployment.plans = vec![
        plan(0.0, 1.0, 120.0, 100.0),
        plan(0.0, 2.0, 40.0, 50.0),
        plan(15.0, 2.0, 60.0, 50.0),
        Plan {
            burst_capacity: 2.5,
            ..plan(0.0, 1.0, 90.0, 80.0)
        },
        plan(0.0, 0.5, 0.0, 30.0),
    ];
    scenario.traffic.host_counts = &[1.0, 3.0, 0.0, 2.0];
    scenario.traffic.plan_changes_per_mille = 40;
    scenario.traffic.volume_count = 10;
    scenario.traffic.unit_sizes = &[0.5, 1.0, 1.0, 4.0];
    scenario.cluster.shard_count = 4;
    scenario
}

/// Plans with reservations and weights. Two nodes are overloaded, and their responses report the
/// units served for other hosts.
pub fn reservations() -> Scenario {
    let mut scenario = baseline();
    scenario.deployment.plans = vec![
        plan(60.0, 1.0, 0.0, 80.0),
        plan(0.0, 4.0, 0.0, 40.0),
        plan(20.0, 1.0, 200.0, 30.0),
        plan(5.0, 0.2, 0.0, 10.0),
    ];
    scenario.deployment.reports_remote_units = true;
    scenario.cluster = Cluster {
        max_attempts_in_flight: 8,
        ..cluster_with_random_failures(14 * MILLISECOND, 2)
    };
    scenario.traffic.volume_count = 7;
    scenario.traffic.host_counts = &[2.0, 1.0];
    scenario.traffic.unit_sizes = &[1.0, 2.0, 6.0];
    scenario.traffic.mean_burst_interval = 14 * MILLISECOND;
    scenario.completion_granularity = 2 * MILLISECOND;
    scenario
}

/// Nodes that restart often and warm up. Only one of four hosts is simulated.
pub fn slow_start() -> Scenario {
    let mut scenario = baseline();
    scenario.deployment.host_count = 4;
    scenario.deployment.classes.push(unordered_class(
        60 * MILLISECOND,
        1.0,
        Idempotency::Idempotent,
    ));
    scenario.deployment.plans = vec![
        plan(10.0, 1.0, 0.0, 40.0),
        plan(0.0, 2.0, 0.0, 5.0),
        plan(0.0, 1.0, 0.0, 200.0),
    ];
    scenario.deployment.slow_start.initial_units_per_window = 30.0;
    scenario.cluster = Cluster {
        start_times_known: true,
        ..cluster_with_random_failures(10 * MILLISECOND, 5)
    };
    scenario.churn.mean_membership_interval = 900 * MILLISECOND;
    scenario.traffic.host_counts = &[4.0, 2.0];
    scenario.traffic.volume_count = 8;
    scenario.traffic.mean_burst_interval = 20 * MILLISECOND;
    scenario
}

/// A retry budget, with many lost responses and failed connections.
pub fn retry_budget() -> Scenario {
    let mut scenario = baseline();
    let budget = RetryBudget {
        window: 700 * MILLISECOND,
        allowance: 2.0,
        ratio: 0.1,
    };
    scenario.deployment.retry_budget = Some(budget);
    scenario.deployment.max_attempts = 4;
    scenario.cluster = Cluster {
        lost_per_mille: 60,
        connect_failed_per_mille: 80,
        ..cluster_with_random_failures(9 * MILLISECOND, 6)
    };
    scenario.churn.mean_fault_interval = SECOND;
    scenario.churn.faults = ALL_FAULTS;
    scenario.completion_granularity = 5 * MILLISECOND;
    scenario
}

/// Ordered classes with a quiesce period.
pub fn ordering() -> Scenario {
    let mut scenario = baseline();
    scenario.deployment.classes = vec![
        ordered_class(
            300 * MILLISECOND,
            Idempotency::WithKey(DedupScope::All, 2 * SECOND),
        ),
        ordered_class(100 * MILLISECOND, Idempotency::NonIdempotent),
        unordered_class(200 * MILLISECOND, 1.0, Idempotency::Idempotent),
        ordered_class(400 * MILLISECOND, Idempotency::Idempotent),
    ];
    scenario.deployment.quiesce_period = 60 * MILLISECOND;
    scenario.cluster = Cluster {
        reset_per_mille: 120,
        ..cluster_with_random_failures(25 * MILLISECOND, 6)
    };
    scenario.churn.mean_membership_interval = 4 * SECOND;
    scenario.traffic.with_key_per_mille = 800;
    scenario.traffic.key_count = 12;
    scenario.traffic.without_shard_per_mille = 100;
    scenario.traffic.disconnects_per_mille = 250;
    scenario.completion_granularity = MILLISECOND;
    scenario.churn.faults = ALL_FAULTS;
    scenario.churn.mean_fault_interval = 1_500 * MILLISECOND;
    scenario.late_timers_per_mille = 500;
    scenario
}

/// Like `ordering`, but attempts cannot be cancelled and there is no quiesce period.
pub fn ordering_without_cancellation() -> Scenario {
    let mut scenario = ordering();
    scenario.deployment.cancellation_allowed = false;
    scenario.deployment.quiesce_period = 0;
    scenario.traffic.key_count = 8;
    scenario.traffic.disconnects_per_mille = 200;
    scenario
}

/// Idempotency keys that every node recognizes.
pub fn deduplication_at_all_nodes() -> Scenario {
    deduplication(DedupScope::All)
}

/// Idempotency keys that the nodes of a zone recognize.
pub fn deduplication_within_a_zone() -> Scenario {
    deduplication(DedupScope::Zone)
}

/// Idempotency keys that the nodes of a shard recognize.
pub fn deduplication_within_a_shard() -> Scenario {
    deduplication(DedupScope::Shard)
}

/// Idempotency keys with the given scope, and a short, a long and an empty deduplication window.
fn deduplication(scope: DedupScope) -> Scenario {
    let mut scenario = baseline();
    scenario.deployment.classes = vec![
        unordered_class(
            200 * MILLISECOND,
            1.0,
            Idempotency::WithKey(scope, 400 * MILLISECOND),
        ),
        unordered_class(
            100 * MILLISECOND,
            2.0,
            Idempotency::WithKey(scope, 10 * SECOND),
        ),
        unordered_class(80 * MILLISECOND, 2.0, Idempotency::WithKey(scope, 0)),
    ];
    scenario.deployment.max_attempts = 6;
    scenario.cluster = Cluster {
        reset_per_mille: 60,
        error_per_mille: 60,
        ..cluster_with_random_failures(10 * MILLISECOND, 4)
    };
    scenario.churn.mean_membership_interval = 800 * MILLISECOND;
    scenario.churn.mean_fault_interval = 1_500 * MILLISECOND;
    scenario.churn.faults = ALL_FAULTS;
    scenario.traffic.without_shard_per_mille = 400;
    scenario
}

/// Non-idempotent requests, which must not be executed twice.
pub fn non_idempotent_requests() -> Scenario {
    let mut scenario = deduplication(DedupScope::All);
    let slow = unordered_class(200 * MILLISECOND, 1.0, Idempotency::NonIdempotent);
    let quick = unordered_class(80 * MILLISECOND, 0.0, Idempotency::NonIdempotent);
    scenario.deployment.classes = vec![slow, quick];
    scenario
}

/// Usage reports, some of them late, and pauses without requests or reports.
pub fn usage_reports() -> Scenario {
    let mut scenario = baseline();
    scenario.deployment.usage_report_period = 500 * MILLISECOND;
    scenario.deployment.plans = vec![
        plan(30.0, 1.0, 0.0, 60.0),
        plan(0.0, 2.0, 90.0, 60.0),
        plan(10.0, 0.5, 0.0, 20.0),
    ];
    scenario.traffic.volume_count = 5;
    scenario.traffic.host_counts = &[3.0, 1.0];
    scenario.traffic.pause = 4 * SECOND;
    scenario.cluster.shard_count = 2;
    scenario.cluster.max_attempts_in_flight = 8;
    scenario.traffic.mean_burst_interval = 14 * MILLISECOND;
    scenario.completion_granularity = 20 * MILLISECOND;
    scenario
}

/// One of 300 hosts that poll the endpoint list at an interval; only this host is simulated.
pub fn discovery_by_poll() -> Scenario {
    let mut scenario = baseline();
    scenario.deployment.discovery_clients = 300;
    scenario.deployment.max_poll_interval = 2 * SECOND;
    scenario.discovery = Discovery::Polled {
        interval: 1_500 * MILLISECOND,
    };
    scenario.churn.mean_membership_interval = 2 * SECOND;
    scenario.cluster = cluster_with_random_failures(12 * MILLISECOND, 8);
    scenario.cluster.start_times_known = true;
    scenario
}

/// One of four hosts that watch the endpoint list; only this host is simulated.
pub fn discovery_by_watch() -> Scenario {
    let mut scenario = discovery_by_poll();
    scenario.deployment.discovery_clients = 4;
    scenario.deployment.max_poll_interval = 0;
    scenario.deployment.slow_start.duration = 0;
    scenario.discovery = Discovery::Watched { mean: 3 * SECOND };
    scenario
}

/// One of 300 hosts that watch the endpoint list, without a maximum poll interval; only this host
/// is simulated.
pub fn discovery_by_watch_with_many_hosts() -> Scenario {
    let mut scenario = discovery_by_watch();
    scenario.deployment.discovery_clients = 300;
    scenario
}

/// Four nodes, most or all of which are faulty at times.
pub fn small_cluster_with_faults() -> Scenario {
    let mut scenario = baseline();
    scenario.deployment.max_attempts = 5;
    scenario.deployment.classes.push(unordered_class(
        120 * MILLISECOND,
        2.0,
        Idempotency::Idempotent,
    ));
    scenario.cluster = cluster_with_random_failures(10 * MILLISECOND, 4);
    scenario.churn.mean_fault_interval = 600 * MILLISECOND;
    scenario.churn.faults = ALL_FAULTS;
    scenario.churn.all_nodes_per_mille = 150;
    scenario.traffic.mean_burst_interval = 15 * MILLISECOND;
    scenario
}

/// Thirty nodes, some of which are faulty at any time.
pub fn large_cluster_with_faults() -> Scenario {
    let mut scenario = small_cluster_with_faults();
    scenario.cluster.shard_count = 30;
    scenario.churn.mean_fault_interval = 400 * MILLISECOND;
    scenario.churn.all_nodes_per_mille = 0;
    scenario.traffic.without_shard_per_mille = 500;
    scenario.completion_granularity = 4 * MILLISECOND;
    scenario
}

/// A single node that is often removed, so that at times no node can take new objects.
pub fn single_node() -> Scenario {
    let mut scenario = membership_churn();
    scenario.cluster = cluster_with_random_failures(5 * MILLISECOND, 1);
    scenario.deployment.classes = vec![
        unordered_class(150 * MILLISECOND, 1.0, Idempotency::Idempotent),
        ordered_class(
            90 * MILLISECOND,
            Idempotency::WithKey(DedupScope::Zone, SECOND),
        ),
    ];
    scenario.deployment.slow_start.duration = 300 * MILLISECOND;
    scenario.churn.mean_membership_interval = 700 * MILLISECOND;
    scenario.traffic.without_shard_per_mille = 700;
    scenario.traffic.with_key_per_mille = 500;
    scenario.traffic.disconnects_per_mille = 150;
    scenario
}

/// Three plans: one without limit and reservation, one with a limit, and one with a reservation.
/// All other values are zero, except the weight of the last plan.
fn plans_with_zero_values() -> Vec<Plan> {
    vec![
        Plan::default(),
        Plan {
            limit: 30.0,
            ..Plan::default()
        },
        Plan {
            reservation: 10.0,
            weight: 1.0,
            ..Plan::default()
        },
    ]
}

/// Zero for every setting that may be zero.
pub fn zero_settings() -> Scenario {
    let mut scenario = baseline();
    scenario.deployment = Deployment {
        classes: vec![
            unordered_class(0, 0.0, Idempotency::Idempotent),
            ordered_class(50 * MILLISECOND, Idempotency::WithKey(DedupScope::Zone, 0)),
            unordered_class(90 * MILLISECOND, 1.0, Idempotency::Idempotent),
        ],
        plans: plans_with_zero_values(),
        host_count: 0,
        max_attempts: 0,
        cancellation_allowed: true,
        discovery_clients: 1,
        max_poll_interval: 0,
        slow_start: SlowStart {
            initial_capacity: 0.0,
            duration: 3 * SECOND,
            window: 0,
            burst_factor: 0.0,
            initial_units_per_window: 0.0,
        },
        quiesce_period: 0,
        retry_budget: Some(RetryBudget {
            window: 0,
            allowance: 0.0,
            ratio: 0.0,
        }),
        mean_units: 0.0,
        max_units: 0.0,
        usage_report_period: 0,
        reports_remote_units: false,
        provisioned_value: 0.0,
        surplus_value: 0.0,
    };
    scenario.discovery = Discovery::Watched { mean: 3 * SECOND };
    scenario.cluster = Cluster {
        start_times_known: true,
        ..cluster_with_random_failures(10 * MILLISECOND, 5)
    };
    scenario.churn.mean_membership_interval = 5 * SECOND;
    scenario.traffic.host_counts = &[0.0, 1.0];
    scenario.traffic.unit_sizes = &[0.0, 1.0, 2.0];
    scenario.traffic.mean_burst_interval = 40 * MILLISECOND;
    scenario
}

/// Request sizes and priority weights of a wide range, and tight latency objectives.
pub fn sizes_and_priorities() -> Scenario {
    let mut scenario = baseline();
    scenario.deployment.classes = vec![
        unordered_class(40 * MILLISECOND, 1.0, Idempotency::Idempotent),
        unordered_class(120 * MILLISECOND, 5.0, Idempotency::Idempotent),
        unordered_class(
            800 * MILLISECOND,
            0.3,
            Idempotency::WithKey(DedupScope::All, SECOND),
        ),
        unordered_class(60 * MILLISECOND, 5.0, Idempotency::NonIdempotent),
    ];
    scenario.deployment.max_units = 30.0;
    scenario.deployment.mean_units = 4.0;
    scenario.traffic.unit_sizes = &[0.1, 1.0, 4.0, 12.0, 30.0];
    scenario.traffic.max_burst = 12;
    scenario.traffic.min_client_timeout = 100 * MILLISECOND;
    scenario.traffic.max_client_timeout = 900 * MILLISECOND;
    scenario.cluster = Cluster {
        lost_per_mille: 90,
        ..cluster_with_random_failures(9 * MILLISECOND, 4)
    };
    scenario.churn.faults = &[NodeFault::Slow(4), NodeFault::Slow(12), NodeFault::Lossy];
    scenario.churn.mean_fault_interval = SECOND;
    scenario.traffic.mean_burst_interval = 50 * MILLISECOND;
    scenario
}

/// Nodes that are slow even without a fault: their mean latency when idle is 14 ms. A response is
/// slow above a quarter of the latency objective, which is less than 14 ms for each class.
pub fn always_slow_nodes() -> Scenario {
    let mut scenario = baseline();
    scenario.deployment.classes = vec![
        unordered_class(40 * MILLISECOND, 1.0, Idempotency::Idempotent),
        unordered_class(
            55 * MILLISECOND,
            2.0,
            Idempotency::WithKey(DedupScope::Shard, SECOND),
        ),
    ];
    scenario.deployment.plans.push(plan(20.0, 1.0, 80.0, 40.0));
    scenario.cluster = cluster_with_random_failures(14 * MILLISECOND, 5);
    scenario.churn.mean_fault_interval = 2 * SECOND;
    scenario.churn.faults = ALL_FAULTS;
    scenario.traffic.mean_burst_interval = 30 * MILLISECOND;
    scenario.completion_granularity = 2 * MILLISECOND;
    scenario
}

/// Nodes that drain, are removed, return, change zone and are replaced all the time.
pub fn membership_churn() -> Scenario {
    let mut scenario = baseline();
    let classes = &mut scenario.deployment.classes;
    classes.push(unordered_class(
        100 * MILLISECOND,
        1.0,
        Idempotency::NonIdempotent,
    ));
    classes.push(unordered_class(
        400 * MILLISECOND,
        1.0,
        Idempotency::WithKey(DedupScope::All, 5 * SECOND),
    ));
    scenario.deployment.slow_start.duration = SECOND;
    scenario.cluster = Cluster {
        reset_per_mille: 80,
        ..cluster_with_random_failures(16 * MILLISECOND, 4)
    };
    scenario.cluster.zone_count = 3;
    scenario.churn.mean_membership_interval = 250 * MILLISECOND;
    scenario.churn.faults = ALL_FAULTS;
    scenario.traffic.without_shard_per_mille = 500;
    scenario.completion_granularity = 3 * MILLISECOND;
    scenario.traffic.mean_burst_interval = 30 * MILLISECOND;
    scenario.churn.mean_fault_interval = SECOND;
    scenario
}

/// Many volumes with limits, and long pauses in which idle volumes are removed.
pub fn idle_volumes() -> Scenario {
    let mut scenario = limits();
    scenario.traffic.request_count = 1_500;
    scenario.traffic.volume_count = 150;
    scenario.traffic.pause = 100 * SECOND;
    scenario.traffic.mean_burst_interval = 40 * MILLISECOND;
    scenario.churn.mean_membership_interval = 5 * SECOND;
    scenario.deployment.plans.push(Plan {
        burst_capacity: 900.0,
        ..plan(0.0, 1.0, 4.0, 10.0)
    });
    scenario
}
