//! What the deployment states at start-up.

use super::Micros;

/// Whether a request that may have been executed can be executed again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// Executing it again does no harm.
    Idempotent,
    /// It carries an idempotency key: the nodes of a scope drop repeats for some time.
    Keyed {
        /// The nodes that drop repeats.
        scope: DeduplicationScope,
        /// For how long after the first dispatch they do, in microseconds.
        window: Micros,
    },
    /// Executing it again would take effect twice.
    NonIdempotent,
}

/// Nodes that remember each other's keyed requests.
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
    /// Latency objective: a response within this time (microseconds) earns the full value.
    pub latency_objective: Micros,
    /// Value of one request of mean size, relative to other classes.
    pub priority_weight: f64,
    /// Part of the value that a response after the objective still earns, from 0 to 1.
    pub late_value: f64,
    /// Whether a request may be executed again.
    pub idempotency: Idempotency,
    /// Requests of one key are executed one after the other, in the order of their receipt.
    pub ordered: bool,
}

/// What a volume is entitled to; rates are in units a second over all hosts and nodes.
#[derive(Clone, Debug, Default)]
pub struct VolumePlan {
    /// Reserved rate; 0 where there is none.
    pub reservation: f64,
    /// Weight of the volume's share in what the reservations leave over.
    pub weight: f64,
    /// Rate that must not be exceeded; 0 where there is none.
    pub limit: f64,
    /// Capacity of the limit's token bucket, in units.
    pub burst_capacity: f64,
    /// Units by which the token bucket may fall below zero.
    pub overdraft: f64,
    /// Multiplies the value of the volume's requests.
    pub tenant_weight: f64,
    /// Rate that such a volume is provisioned for.
    pub provisioned_rate: f64,
}

/// Bound on retries within a sliding window: `allowance` and `ratio` times the requests received.
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
    /// Part of its full capacity that a node has at its start; above 0, at most 1.
    pub initial_capacity: f64,
    /// Time after which it has its full capacity at the latest, in microseconds.
    pub duration: Micros,
    /// Window within which the units dispatched to such a node are counted, in microseconds.
    pub window: Micros,
    /// Units that a node can take within a window, as a multiple of its capacity at the time.
    pub burst_factor: f64,
    /// Units that a node can take within a window at its start, from all hosts together.
    pub units: f64,
}

/// What the deployment states at start-up.
#[derive(Clone, Debug)]
#[allow(clippy::struct_excessive_bools)] // each is one independent statement of the deployment
pub struct Settings {
    /// Classes of requests, by index.
    pub classes: Vec<RequestClass>,
    /// Plans of volumes, by index.
    pub plans: Vec<VolumePlan>,
    /// Number of hosts that share the nodes, this one included.
    pub hosts: u32,
    /// Attempts allowed for one request, the first included.
    pub max_attempts: u32,
    /// Two attempts of one request may be in flight at once.
    pub hedging_allowed: bool,
    /// Attempts in flight may be cancelled.
    pub cancellation_allowed: bool,
    /// Nodes may be sent health checks.
    pub health_checks_allowed: bool,
    /// Number of hosts that poll the same discovery service, this one included; 0 where the list comes by
    /// itself.
    pub discovery_clients: u32,
    /// Longest time between two polls of the list without a watch, in microseconds; 0 for no bound.
    pub max_poll_interval: Micros,
    /// Time after the news that a node drains or is removed from which nothing may be dispatched to it, in
    /// microseconds.
    pub drain_grace: Micros,
    /// How much a node takes while it warms up.
    pub slow_start: SlowStart,
    /// Pause of a key after an attempt that may still be executing, in microseconds.
    pub quiesce_period: Micros,
    /// The budget of retries, where there is one.
    pub retry_budget: Option<RetryBudget>,
    /// Mean size of a request, in units.
    pub mean_units: f64,
    /// Largest size of a request, in units.
    pub max_units: f64,
    /// Period of usage reports, in microseconds; 0 where responses carry none.
    pub usage_report_period: Micros,
    /// Responses report the units that the node served for the volume through other hosts.
    pub reports_remote_units: bool,
    /// Part of the value that units within the share earn.
    pub within_share_value: f64,
    /// Part of the value that units beyond the share earn.
    pub surplus_value: f64,
}
