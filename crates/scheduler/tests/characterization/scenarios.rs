//! The deployments, clusters and clients that are played.

use crate::churn::Churn;
use crate::cluster::{Cluster, Condition};
use crate::plain::{Budget, Class, Deployment, Plan, Repeat, Scope, Time, Warmup};
use crate::plain::{MILLISECOND, SECOND};
use crate::traffic::Traffic;

/// How the host gets the endpoint list.
#[derive(Clone, Copy, PartialEq)]
pub enum Discovery {
    /// It is pushed without polls.
    Pushed,
    /// Each poll gives one list, and the next one is due after an interval.
    Polled {
        /// That interval.
        interval: Time,
    },
    /// A poll opens a watch that is lost after some time.
    Watched {
        /// Mean time until a watch is lost.
        mean: Time,
    },
}

/// What a run consists of.
#[derive(Clone)]
pub struct Scenario {
    /// The settings.
    pub deployment: Deployment,
    /// The nodes.
    pub cluster: Cluster,
    /// Changes of the nodes.
    pub churn: Churn,
    /// The clients.
    pub traffic: Traffic,
    /// How the endpoint list arrives.
    pub discovery: Discovery,
    /// Attempts end at multiples of this, so that several end at once.
    pub quantum: Time,
    /// Timers that fire late, in a thousand.
    pub late_timers: u64,
}

/// All conditions that nodes may fall into.
const ALL_CONDITIONS: &[Condition] = &[
    Condition::Slow(4),
    Condition::Slow(40),
    Condition::Silent,
    Condition::Unreachable,
    Condition::Resetting,
    Condition::Failing,
    Condition::Lossy,
    Condition::Full,
];

fn class(objective: Time, priority: f64, repeat: Repeat) -> Class {
    Class {
        objective,
        priority,
        repeat,
        ordered: false,
    }
}

fn ordered(objective: Time, repeat: Repeat) -> Class {
    Class {
        ordered: true,
        ..class(objective, 1.0, repeat)
    }
}

fn plan(reservation: f64, weight: f64, limit: f64, provisioned: f64) -> Plan {
    Plan {
        reservation,
        weight,
        limit,
        burst: limit * 0.6,
        provisioned,
    }
}

fn all_fates(latency: Time, shards: u64) -> Cluster {
    Cluster {
        shards,
        zones: 2,
        latency,
        capacity: 6,
        lost: 20,
        reset: 15,
        connect_failed: 15,
        error: 20,
        cancelled: 5,
        not_dispatched: 5,
        known_starts: false,
    }
}

/// One host, healthy nodes with few losses, steady clients: what the other scenarios vary.
pub fn plain_service() -> Scenario {
    Scenario {
        deployment: plain_deployment(),
        cluster: Cluster {
            capacity: 20,
            reset: 2,
            connect_failed: 2,
            error: 3,
            cancelled: 0,
            not_dispatched: 1,
            ..all_fates(12 * MILLISECOND, 12)
        },
        churn: Churn {
            membership_gap: 0,
            condition_gap: 3 * SECOND,
            conditions: &[Condition::Slow(4), Condition::Silent],
            all_at_once: 0,
        },
        traffic: plain_traffic(),
        discovery: Discovery::Pushed,
        quantum: 1,
        late_timers: 50,
    }
}

fn plain_deployment() -> Deployment {
    Deployment {
        classes: vec![class(500 * MILLISECOND, 1.0, Repeat::Safe)],
        plans: vec![plan(0.0, 1.0, 0.0, 100.0), plan(0.0, 3.0, 0.0, 300.0)],
        hosts: 1,
        max_attempts: 3,
        cancellation_allowed: true,
        discovery_clients: 0,
        max_poll_interval: 0,
        warmup: Warmup {
            initial_capacity: 0.2,
            duration: 8 * SECOND,
            window: SECOND,
            burst_factor: 3.0,
            units: 20.0,
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

fn plain_traffic() -> Traffic {
    Traffic {
        requests: 2_500,
        mean_gap: 8 * MILLISECOND,
        burst: 6,
        volumes: 5,
        hosts: &[1.0],
        keys: 40,
        with_object_key: 300,
        new_objects: 250,
        units: &[1.0, 2.0, 2.0, 3.0],
        min_client_timeout: 300 * MILLISECOND,
        max_client_timeout: 3 * SECOND,
        odd: 20,
        plan_changes: 0,
        sent_again: 300,
        disconnects: 60,
        early_responses: 50,
        closing_ends: 10,
        pause: 0,
    }
}

/// Plans with limits and bursts, and volumes that change plan and hosts.
pub fn limits() -> Scenario {
    let mut scenario = plain_service();
    scenario.deployment.plans = vec![
        plan(0.0, 1.0, 120.0, 100.0),
        plan(0.0, 2.0, 40.0, 50.0),
        plan(15.0, 2.0, 60.0, 50.0),
        Plan {
            burst: 2.5,
            ..plan(0.0, 1.0, 90.0, 80.0)
        },
        plan(0.0, 0.5, 0.0, 30.0),
    ];
    scenario.traffic.hosts = &[1.0, 3.0, 0.0, 2.0];
    scenario.traffic.plan_changes = 40;
    scenario.traffic.volumes = 10;
    scenario.traffic.units = &[0.5, 1.0, 1.0, 4.0];
    scenario.cluster.shards = 4;
    scenario
}

/// Reservations and weights at few overloaded nodes, with service through other hosts reported.
pub fn reservations() -> Scenario {
    let mut scenario = plain_service();
    scenario.deployment.plans = vec![
        plan(60.0, 1.0, 0.0, 80.0),
        plan(0.0, 4.0, 0.0, 40.0),
        plan(20.0, 1.0, 200.0, 30.0),
        plan(5.0, 0.2, 0.0, 10.0),
    ];
    scenario.deployment.reports_remote_units = true;
    scenario.cluster = Cluster {
        capacity: 8,
        ..all_fates(14 * MILLISECOND, 2)
    };
    scenario.traffic.volumes = 7;
    scenario.traffic.hosts = &[2.0, 1.0];
    scenario.traffic.units = &[1.0, 2.0, 6.0];
    scenario.traffic.mean_gap = 14 * MILLISECOND;
    scenario.quantum = 2 * MILLISECOND;
    scenario
}

/// Nodes that restart often and warm up, with several hosts.
pub fn slow_start() -> Scenario {
    let mut scenario = plain_service();
    scenario.deployment.hosts = 4;
    scenario
        .deployment
        .classes
        .push(class(60 * MILLISECOND, 1.0, Repeat::Safe));
    scenario.deployment.plans = vec![
        plan(10.0, 1.0, 0.0, 40.0),
        plan(0.0, 2.0, 0.0, 5.0),
        plan(0.0, 1.0, 0.0, 200.0),
    ];
    scenario.deployment.warmup.units = 30.0;
    scenario.cluster = Cluster {
        known_starts: true,
        ..all_fates(10 * MILLISECOND, 5)
    };
    scenario.churn.membership_gap = 900 * MILLISECOND;
    scenario.traffic.hosts = &[4.0, 2.0];
    scenario.traffic.volumes = 8;
    scenario.traffic.mean_gap = 20 * MILLISECOND;
    scenario
}

/// A retry budget under many losses and failed connects.
pub fn retry_budget() -> Scenario {
    let mut scenario = plain_service();
    let budget = Budget {
        window: 700 * MILLISECOND,
        allowance: 2.0,
        ratio: 0.1,
    };
    scenario.deployment.retry_budget = Some(budget);
    scenario.deployment.max_attempts = 4;
    scenario.cluster = Cluster {
        lost: 60,
        connect_failed: 80,
        ..all_fates(9 * MILLISECOND, 6)
    };
    scenario.churn.condition_gap = SECOND;
    scenario.churn.conditions = ALL_CONDITIONS;
    scenario.quantum = 5 * MILLISECOND;
    scenario
}

/// Requests of one key in order, with a quiesce period.
pub fn ordering() -> Scenario {
    let mut scenario = plain_service();
    scenario.deployment.classes = vec![
        ordered(300 * MILLISECOND, Repeat::WithKey(Scope::All, 2 * SECOND)),
        ordered(100 * MILLISECOND, Repeat::Unsafe),
        class(200 * MILLISECOND, 1.0, Repeat::Safe),
        ordered(400 * MILLISECOND, Repeat::Safe),
    ];
    scenario.deployment.quiesce_period = 60 * MILLISECOND;
    scenario.cluster = Cluster {
        reset: 120,
        ..all_fates(25 * MILLISECOND, 6)
    };
    scenario.churn.membership_gap = 4 * SECOND;
    scenario.traffic.with_object_key = 800;
    scenario.traffic.keys = 12;
    scenario.traffic.new_objects = 100;
    scenario.traffic.disconnects = 250;
    scenario.quantum = MILLISECOND;
    scenario.churn.conditions = ALL_CONDITIONS;
    scenario.churn.condition_gap = 1_500 * MILLISECOND;
    scenario.late_timers = 500;
    scenario
}

/// As `ordering`, with attempts that can't be cancelled and without a quiesce period.
pub fn ordering_without_cancellation() -> Scenario {
    let mut scenario = ordering();
    scenario.deployment.cancellation_allowed = false;
    scenario.deployment.quiesce_period = 0;
    scenario.traffic.keys = 8;
    scenario.traffic.disconnects = 200;
    scenario
}

/// Deduplication at every node, within a short window.
pub fn idempotency_key_at_all_nodes() -> Scenario {
    idempotency_key(Scope::All)
}

/// Deduplication within a zone.
pub fn idempotency_key_in_a_zone() -> Scenario {
    idempotency_key(Scope::Zone)
}

/// Deduplication at the nodes of a shard.
pub fn idempotency_key_at_a_shard() -> Scenario {
    idempotency_key(Scope::Shard)
}

fn idempotency_key(scope: Scope) -> Scenario {
    let mut scenario = plain_service();
    scenario.deployment.classes = vec![
        class(
            200 * MILLISECOND,
            1.0,
            Repeat::WithKey(scope, 400 * MILLISECOND),
        ),
        class(100 * MILLISECOND, 2.0, Repeat::WithKey(scope, 10 * SECOND)),
        class(80 * MILLISECOND, 2.0, Repeat::WithKey(scope, 0)),
    ];
    scenario.deployment.max_attempts = 6;
    scenario.cluster = Cluster {
        reset: 60,
        error: 60,
        ..all_fates(10 * MILLISECOND, 4)
    };
    scenario.churn.membership_gap = 800 * MILLISECOND;
    scenario.churn.condition_gap = 1_500 * MILLISECOND;
    scenario.churn.conditions = ALL_CONDITIONS;
    scenario.traffic.new_objects = 400;
    scenario
}

/// Requests that must not run twice.
pub fn non_idempotent() -> Scenario {
    let mut scenario = idempotency_key(Scope::All);
    let slow = class(200 * MILLISECOND, 1.0, Repeat::Unsafe);
    let quick = class(80 * MILLISECOND, 0.0, Repeat::Unsafe);
    scenario.deployment.classes = vec![slow, quick];
    scenario
}

/// Usage reports, some of them late, and pauses in which none arrive.
pub fn usage_reports() -> Scenario {
    let mut scenario = plain_service();
    scenario.deployment.usage_report_period = 500 * MILLISECOND;
    scenario.deployment.plans = vec![
        plan(30.0, 1.0, 0.0, 60.0),
        plan(0.0, 2.0, 90.0, 60.0),
        plan(10.0, 0.5, 0.0, 20.0),
    ];
    scenario.traffic.volumes = 5;
    scenario.traffic.hosts = &[3.0, 1.0];
    scenario.traffic.pause = 4 * SECOND;
    scenario.cluster.shards = 2;
    scenario.cluster.capacity = 8;
    scenario.traffic.mean_gap = 14 * MILLISECOND;
    scenario.quantum = 20 * MILLISECOND;
    scenario
}

/// A list polled by many hosts at an interval.
pub fn discovery_by_poll() -> Scenario {
    let mut scenario = plain_service();
    scenario.deployment.discovery_clients = 300;
    scenario.deployment.max_poll_interval = 2 * SECOND;
    scenario.discovery = Discovery::Polled {
        interval: 1_500 * MILLISECOND,
    };
    scenario.churn.membership_gap = 2 * SECOND;
    scenario.cluster = all_fates(12 * MILLISECOND, 8);
    scenario.cluster.known_starts = true;
    scenario
}

/// A list watched by few hosts.
pub fn discovery_by_watch() -> Scenario {
    let mut scenario = discovery_by_poll();
    scenario.deployment.discovery_clients = 4;
    scenario.deployment.max_poll_interval = 0;
    scenario.deployment.warmup.duration = 0;
    scenario.discovery = Discovery::Watched { mean: 3 * SECOND };
    scenario
}

/// A list watched by many hosts without a maximum interval.
pub fn discovery_by_many_hosts() -> Scenario {
    let mut scenario = discovery_by_watch();
    scenario.deployment.discovery_clients = 300;
    scenario
}

/// Few nodes of which most fail at times.
pub fn few_faulty_nodes() -> Scenario {
    let mut scenario = plain_service();
    scenario.deployment.max_attempts = 5;
    scenario
        .deployment
        .classes
        .push(class(120 * MILLISECOND, 2.0, Repeat::Safe));
    scenario.cluster = all_fates(10 * MILLISECOND, 4);
    scenario.churn.condition_gap = 600 * MILLISECOND;
    scenario.churn.conditions = ALL_CONDITIONS;
    scenario.churn.all_at_once = 150;
    scenario.traffic.mean_gap = 15 * MILLISECOND;
    scenario
}

/// Many nodes of which some fail.
pub fn many_faulty_nodes() -> Scenario {
    let mut scenario = few_faulty_nodes();
    scenario.cluster.shards = 30;
    scenario.churn.condition_gap = 400 * MILLISECOND;
    scenario.churn.all_at_once = 0;
    scenario.traffic.new_objects = 500;
    scenario.quantum = 4 * MILLISECOND;
    scenario
}

/// A single node that is often gone, so that new objects have no node at all.
pub fn single_node() -> Scenario {
    let mut scenario = churn();
    scenario.cluster = all_fates(5 * MILLISECOND, 1);
    scenario.deployment.classes = vec![
        class(150 * MILLISECOND, 1.0, Repeat::Safe),
        ordered(90 * MILLISECOND, Repeat::WithKey(Scope::Zone, SECOND)),
    ];
    scenario.deployment.warmup.duration = 300 * MILLISECOND;
    scenario.churn.membership_gap = 700 * MILLISECOND;
    scenario.traffic.new_objects = 700;
    scenario.traffic.with_object_key = 500;
    scenario.traffic.disconnects = 150;
    scenario
}

/// Plans with a limit, with a reservation, and with neither; the other values are zero.
fn plans_with_zeros() -> Vec<Plan> {
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

/// Settings of zero wherever they are allowed.
pub fn zero_settings() -> Scenario {
    let mut scenario = plain_service();
    scenario.deployment = Deployment {
        classes: vec![
            class(0, 0.0, Repeat::Safe),
            ordered(50 * MILLISECOND, Repeat::WithKey(Scope::Zone, 0)),
            class(90 * MILLISECOND, 1.0, Repeat::Safe),
        ],
        plans: plans_with_zeros(),
        hosts: 0,
        max_attempts: 0,
        cancellation_allowed: true,
        discovery_clients: 1,
        max_poll_interval: 0,
        warmup: Warmup {
            initial_capacity: 0.0,
            duration: 3 * SECOND,
            window: 0,
            burst_factor: 0.0,
            units: 0.0,
        },
        quiesce_period: 0,
        retry_budget: Some(Budget {
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
        known_starts: true,
        ..all_fates(10 * MILLISECOND, 5)
    };
    scenario.churn.membership_gap = 5 * SECOND;
    scenario.traffic.hosts = &[0.0, 1.0];
    scenario.traffic.units = &[0.0, 1.0, 2.0];
    scenario.traffic.mean_gap = 40 * MILLISECOND;
    scenario
}

/// Sizes and priority weights that differ much, and objectives that are hard to meet.
pub fn sizes_and_priorities() -> Scenario {
    let mut scenario = plain_service();
    scenario.deployment.classes = vec![
        class(40 * MILLISECOND, 1.0, Repeat::Safe),
        class(120 * MILLISECOND, 5.0, Repeat::Safe),
        class(800 * MILLISECOND, 0.3, Repeat::WithKey(Scope::All, SECOND)),
        class(60 * MILLISECOND, 5.0, Repeat::Unsafe),
    ];
    scenario.deployment.max_units = 30.0;
    scenario.deployment.mean_units = 4.0;
    scenario.traffic.units = &[0.1, 1.0, 4.0, 12.0, 30.0];
    scenario.traffic.burst = 12;
    scenario.traffic.min_client_timeout = 100 * MILLISECOND;
    scenario.traffic.max_client_timeout = 900 * MILLISECOND;
    scenario.cluster = Cluster {
        lost: 90,
        ..all_fates(9 * MILLISECOND, 4)
    };
    scenario.churn.conditions = &[Condition::Slow(4), Condition::Slow(12), Condition::Lossy];
    scenario.churn.condition_gap = SECOND;
    scenario.traffic.mean_gap = 50 * MILLISECOND;
    scenario
}

/// Nodes that are always slow for what the classes expect.
pub fn sluggish_nodes() -> Scenario {
    let mut scenario = plain_service();
    scenario.deployment.classes = vec![
        class(40 * MILLISECOND, 1.0, Repeat::Safe),
        class(55 * MILLISECOND, 2.0, Repeat::WithKey(Scope::Shard, SECOND)),
    ];
    scenario.deployment.plans.push(plan(20.0, 1.0, 80.0, 40.0));
    scenario.cluster = all_fates(14 * MILLISECOND, 5);
    scenario.churn.condition_gap = 2 * SECOND;
    scenario.churn.conditions = ALL_CONDITIONS;
    scenario.traffic.mean_gap = 30 * MILLISECOND;
    scenario.quantum = 2 * MILLISECOND;
    scenario
}

/// Nodes that drain, leave, return, move and are replaced all the time.
pub fn churn() -> Scenario {
    let mut scenario = plain_service();
    let classes = &mut scenario.deployment.classes;
    classes.push(class(100 * MILLISECOND, 1.0, Repeat::Unsafe));
    classes.push(class(
        400 * MILLISECOND,
        1.0,
        Repeat::WithKey(Scope::All, 5 * SECOND),
    ));
    scenario.deployment.warmup.duration = SECOND;
    scenario.cluster = Cluster {
        reset: 80,
        ..all_fates(16 * MILLISECOND, 4)
    };
    scenario.cluster.zones = 3;
    scenario.churn.membership_gap = 250 * MILLISECOND;
    scenario.churn.conditions = ALL_CONDITIONS;
    scenario.traffic.new_objects = 500;
    scenario.quantum = 3 * MILLISECOND;
    scenario.traffic.mean_gap = 30 * MILLISECOND;
    scenario.churn.condition_gap = SECOND;
    scenario
}

/// Many volumes with limits and long pauses, after which the idle ones are removed.
pub fn idle_volumes() -> Scenario {
    let mut scenario = limits();
    scenario.traffic.requests = 1_500;
    scenario.traffic.volumes = 150;
    scenario.traffic.pause = 100 * SECOND;
    scenario.traffic.mean_gap = 40 * MILLISECOND;
    scenario.churn.membership_gap = 5 * SECOND;
    scenario.deployment.plans.push(Plan {
        burst: 900.0,
        ..plan(0.0, 1.0, 4.0, 10.0)
    });
    scenario
}
