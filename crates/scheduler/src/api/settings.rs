//! Settings of the deployment, fixed at startup.

use super::{Micros, Units, UnitsPerSecond};

/// Whether it is safe to execute a request again that may already have been executed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// The request can safely be executed again.
    Idempotent,
    /// The request carries an idempotency key. The nodes of a scope drop duplicates of it for a
    /// limited time.
    WithKey {
        /// Nodes that recognize duplicates of each other's requests.
        scope: DeduplicationScope,
        /// Time in microseconds after the dispatch of an attempt during which nodes drop duplicates
        /// of it.
        window: Micros,
    },
    /// A second execution would take effect a second time.
    NonIdempotent,
}

/// Set of nodes that share a record of idempotency keys and use it to drop duplicates.
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
    /// Latency objective: time in microseconds after its receipt within which a request should be
    /// served.
    pub latency_objective: Micros,
    /// Priority of the class. Within a flow, requests with a higher weight are dispatched first;
    /// only the order of the weights matters.
    pub priority_weight: f64,
    /// Whether a request may be executed again.
    pub idempotency: Idempotency,
    /// Whether requests with the same key are executed one after another, in the order in which
    /// they were received.
    pub ordered: bool,
}

/// Reservation, weight, limit and provisioned rate of a volume. Rates are totals over all hosts and
/// nodes.
#[derive(Clone, Debug, Default)]
pub struct VolumePlan {
    /// Reserved rate; 0 if there is no reservation.
    pub reservation: UnitsPerSecond,
    /// dmClock weight: the volume's share of the capacity that remains after the reservations.
    pub weight: f64,
    /// Maximum rate; 0 if there is no limit.
    pub limit: UnitsPerSecond,
    /// Capacity of the token bucket that enforces the limit.
    pub burst_capacity: Units,
    /// Rate that the volume is provisioned for. Requests beyond it that are not covered by the
    /// reservation are surplus requests, which have the value [`Settings::surplus_value`].
    pub provisioned_rate: UnitsPerSecond,
}

/// Limit on retries within a sliding window: `allowance` plus `ratio` times the number of requests
/// received in the window.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    /// Length of the window, in microseconds.
    pub window: Micros,
    /// Number of retries that are always allowed.
    pub allowance: f64,
    /// Number of retries allowed per request received.
    pub ratio: f64,
}

/// How the capacity of a node grows after its process starts.
#[derive(Clone, Debug)]
pub struct SlowStart {
    /// Capacity of a node when its process starts, as a fraction of its full capacity; above 0 and
    /// at most 1.
    pub initial_capacity: f64,
    /// Time in microseconds from the start of the process until the node has its full capacity at
    /// the latest.
    pub duration: Micros,
    /// Length in microseconds of the window within which the units dispatched to the node are
    /// limited.
    pub window: Micros,
    /// Burst that nodes can handle: the units dispatched to a node in one window may be this factor
    /// times the units provisioned for the window, scaled to the node's current capacity.
    pub burst_factor: f64,
    /// Units that a node can serve within a window when its process starts, for all hosts together.
    pub initial_units_per_window: Units,
}

/// Settings of the deployment, fixed at startup.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Classes of requests, by index.
    pub classes: Vec<RequestClass>,
    /// Plans of volumes, by index.
    pub plans: Vec<VolumePlan>,
    /// Number of hosts that share the nodes, this one included.
    pub host_count: u32,
    /// Longest time in microseconds that a client waits for the response to a request, over all
    /// classes.
    pub longest_client_timeout: Micros,
    /// Maximum number of attempts of one request, the first included.
    pub max_attempts: u32,
    /// Whether attempts in flight may be cancelled.
    pub cancellation_allowed: bool,
    /// Number of hosts that poll the same discovery service, this one included; 0 if the endpoint
    /// list is delivered without polls.
    pub discovery_clients: u32,
    /// Maximum interval between polls of the list while there is no watch, in microseconds; 0 for
    /// none. It limits only the jitter of a poll, to half of this interval.
    pub max_poll_interval: Micros,
    /// Slow start of nodes that are warming up.
    pub slow_start: SlowStart,
    /// Time in microseconds for which the next ordered request of a key waits after an attempt of
    /// that key timed out, was reset or was cancelled, because the node may still be executing the
    /// attempt. Retries of the same request and requests of unordered classes do not wait.
    pub quiesce_period: Micros,
    /// Limit on retries; `None` if retries are not limited.
    pub retry_budget: Option<RetryBudget>,
    /// Mean size of a request. Expected latencies are scaled by the size of a request relative to
    /// it.
    pub mean_units: Units,
    /// Largest size of a request; also the idle credit of a volume.
    pub max_units: Units,
    /// Period of usage reports, in microseconds; 0 if responses carry none.
    pub usage_report_period: Micros,
    /// Whether responses report the units that the node served for the volume through other hosts.
    pub reports_remote_units: bool,
    /// Value of units within the volume's provisioned rate but beyond its reservation, as a
    /// fraction from 0 to 1 of the value of reserved units. It lowers a node's concurrency limit
    /// for such requests: the smaller it is, the lower the limit; 1 leaves the limit as it is.
    pub provisioned_value: f64,
    /// Value of units beyond the volume's provisioned rate, as a fraction from 0 to 1 of the value
    /// of reserved units. It lowers a node's concurrency limit in the same way.
    pub surplus_value: f64,
}
