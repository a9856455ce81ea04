//! Settings of the deployment, fixed at start-up.

use super::{Micros, Units, UnitsPerSecond};

/// Whether a request that may have been executed can safely be executed again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// Executing it again is safe.
    Idempotent,
    /// It carries an idempotency key: the nodes of a scope drop duplicates for some time.
    WithKey {
        /// The nodes that recognize duplicates of each other's requests.
        scope: DeduplicationScope,
        /// Time after the first dispatch for which they do, in microseconds.
        window: Micros,
    },
    /// Executing it again would take effect twice.
    NonIdempotent,
}

/// Nodes that share the record of idempotency keys by which duplicates are dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeduplicationScope {
    /// Every node.
    All,
    /// The nodes of one zone.
    Zone,
    /// The nodes of one shard.
    Shard,
}

/// A class of request.
#[derive(Clone, Debug)]
pub struct RequestClass {
    /// Latency objective in microseconds: a response within this time has its full value.
    pub latency_objective: Micros,
    /// Value of one request of mean size, relative to other classes.
    pub priority_weight: f64,
    /// Whether a request may be executed again.
    pub idempotency: Idempotency,
    /// Whether requests of one key are executed one after the other, in the order of their receipt.
    pub ordered: bool,
}

/// Reservation, weight, limit and provisioned rate of a volume; rates are over all hosts and nodes.
#[derive(Clone, Debug, Default)]
pub struct VolumePlan {
    /// Reserved rate; 0 where there is none.
    pub reservation: UnitsPerSecond,
    /// dmClock weight: the volume's share of the capacity that remains after the reservations.
    pub weight: f64,
    /// Maximum rate; 0 where there is none.
    pub limit: UnitsPerSecond,
    /// Capacity of the limit's token bucket.
    pub burst_capacity: Units,
    /// Provisioned rate.
    pub provisioned_rate: UnitsPerSecond,
}

/// Limit on retries within a sliding window: `allowance` plus `ratio` times the requests received.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    /// Length of the window, in microseconds.
    pub window: Micros,
    /// Retries that are always allowed.
    pub allowance: f64,
    /// Retries allowed for each request received.
    pub ratio: f64,
}

/// How the capacity of a node grows after the start of its process.
#[derive(Clone, Debug)]
pub struct SlowStart {
    /// Fraction of its full capacity that a node has at its start; above 0, at most 1.
    pub initial_capacity: f64,
    /// Time after the start by which it has its full capacity at the latest, in microseconds.
    pub duration: Micros,
    /// Length of the window in which the units dispatched to the node are limited, in microseconds.
    pub window: Micros,
    /// Burst that a node can take within a window, as a multiple of its capacity at that time.
    pub burst_factor: f64,
    /// Service that a node can take within a window at its start, from all hosts together.
    pub units: Units,
}

/// Settings of the deployment, fixed at start-up.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Classes of requests, by index.
    pub classes: Vec<RequestClass>,
    /// Plans of volumes, by index.
    pub plans: Vec<VolumePlan>,
    /// Number of hosts that share the nodes, this one included.
    pub hosts: u32,
    /// Maximum number of attempts of one request, the first included.
    pub max_attempts: u32,
    /// Whether attempts in flight may be cancelled.
    pub cancellation_allowed: bool,
    /// Number of hosts that poll the same discovery service, this one included; 0 where the
    /// endpoint list is delivered without polls.
    pub discovery_clients: u32,
    /// Maximum time between two polls of the list without a watch, in microseconds; 0 for no
    /// maximum.
    pub max_poll_interval: Micros,
    /// Capacity of nodes that warm up.
    pub slow_start: SlowStart,
    /// Time in microseconds for which the next ordered request of a key waits after an attempt of
    /// that key ended while it may still be executing. Retries of the same request and requests of
    /// other classes do not wait.
    pub quiesce_period: Micros,
    /// Limit on retries, if there is one.
    pub retry_budget: Option<RetryBudget>,
    /// Mean size of a request.
    pub mean_units: Units,
    /// Largest size of a request.
    pub max_units: Units,
    /// Period of usage reports, in microseconds; 0 where responses carry none.
    pub usage_report_period: Micros,
    /// Whether responses report the units that the node served for the volume through other hosts.
    pub reports_remote_units: bool,
    /// Fraction of the value of units within the volume's provisioned rate, but beyond its
    /// reservation.
    pub within_share_value: f64,
    /// Fraction of the value of units beyond the volume's provisioned rate.
    pub surplus_value: f64,
}
