//! The settings object as serde decodes it.
//!
//! An absent number is 0, an absent flag is false, an absent string or list is empty; unknown keys
//! are ignored. Each field states its unit, and says so where the gateway does not use it.
//!
//! The decoder's errors contain the names of these types, so a renamed type changes their text.

use crate::values::{DeduplicationScopeSetting, DiscoverySetting, IdempotencySetting};
use serde::Deserialize;

/// Everything that a deployment states about its gateways, volumes and storage nodes.
#[derive(Clone, Debug, Deserialize, Default, PartialEq)]
#[serde(default)]
pub struct DeploymentSettings {
    /// Optional features that the deployment permits, and the limits on attempts and connections.
    #[serde(rename = "allowed")]
    pub permissions: AllowedFeatures,
    /// Classes of request; requests refer to them by index.
    pub classes: Vec<ClassSettings>,
    /// How gateways learn the endpoint list.
    pub discovery: DiscoverySetting,
    /// Whether a discovery agent runs on the gateway's host. The discovery service pushes the
    /// endpoint list to the agent, and the gateway polls the agent. This is not a key of the
    /// settings object: the program sets it from its own configuration.
    #[serde(skip)]
    pub has_discovery_agent: bool,
    /// Properties of the stored data and of the storage nodes.
    #[serde(rename = "domain")]
    pub storage: DomainSettings,
    /// Number of gateways in the deployment, including this one.
    #[serde(rename = "group_size")]
    pub gateway_count: u32,
    /// Plans of volumes; requests refer to them by index.
    pub plans: Vec<PlanSettings>,
    /// Contents of a node's load report. The gateway does not use them.
    #[serde(rename = "report")]
    pub load_report: ReportSettings,
    /// Rules that a gateway must follow.
    pub rules: RuleSettings,
    /// Names of the zones.
    pub zones: Vec<String>,
}

/// Optional features that a deployment permits, and the limits on attempts and connections.
#[derive(Clone, Debug, Deserialize, Default, PartialEq)]
#[serde(default)]
pub struct AllowedFeatures {
    /// Number of attempts allowed for one request, the first included.
    pub max_attempts: u32,
    /// Idle time in milliseconds after which a storage node closes a connection.
    pub conn_idle_ms: f64,
    /// Timeout in milliseconds for establishing a connection to a storage node.
    pub connect_timeout_ms: f64,
    /// Whether an attempt in flight may be cancelled.
    #[serde(rename = "may_cancel")]
    pub cancellation: bool,
    /// Whether health checks may be sent to nodes. The gateway does not use it and sends none.
    #[serde(rename = "probes")]
    pub health_checks: bool,
    /// Whether a request may be hedged, that is, have two attempts in flight at the same time. The
    /// gateway does not use it and hedges no request.
    #[serde(rename = "second_copies")]
    pub hedging: bool,
}

/// A class of request.
#[derive(Clone, Debug, Deserialize, Default, PartialEq)]
#[serde(default)]
pub struct ClassSettings {
    /// Latency objective in milliseconds: a response within this time has its full value.
    #[serde(rename = "aim_ms")]
    pub latency_objective_ms: f64,
    /// Whether requests for the same object key run one after the other, in the order of their
    /// arrival.
    #[serde(rename = "by_arrival")]
    pub ordered: bool,
    /// Time in milliseconds after which the client gives up waiting for the response.
    pub deadline_ms: f64,
    /// Whether a request may run twice.
    #[serde(rename = "effect")]
    pub idempotency: IdempotencySetting,
    /// Which nodes share their record of idempotency keys.
    #[serde(rename = "group")]
    pub deduplication_scope: DeduplicationScopeSetting,
    /// Time in milliseconds for which a node recognizes an idempotency key.
    #[serde(rename = "key_ttl_ms")]
    pub deduplication_window_ms: f64,
    /// Fraction, from 0 to 1, of its value that a response has after the latency objective. The
    /// gateway does not use it.
    pub late_value: f64,
    /// Name of the class.
    pub name: String,
    /// Value of one request of mean size. It has no unit; only its ratio to that of other classes
    /// counts.
    #[serde(rename = "points")]
    pub priority_weight: f64,
}

/// Properties of the stored data and of the storage nodes. A unit is the measure of a request's
/// size and of the work that it is for a node.
#[derive(Clone, Debug, Deserialize, Default, PartialEq)]
#[serde(default)]
pub struct DomainSettings {
    /// Units that a node can process within one slow-start window right after its start, summed
    /// over all gateways.
    #[serde(rename = "cold_bears")]
    pub slow_start_units: f64,
    /// Whether responses state the units that the node served for the volume through other
    /// gateways.
    #[serde(rename = "counts_others")]
    pub reports_remote_units: bool,
    /// Fraction, from 0 to 1, of their value that units have within the volume's share, but beyond
    /// its reservation.
    #[serde(rename = "fair_worth")]
    pub within_share_value: f64,
    /// Period of the usage report in milliseconds; 0 if responses carry none.
    #[serde(rename = "meter_ms")]
    pub usage_report_period_ms: f64,
    /// Fraction, from 0 to 1, of their value that units have beyond the volume's share.
    #[serde(rename = "spare_worth")]
    pub surplus_value: f64,
    /// Number of shards that the data is divided into.
    #[serde(rename = "n_shards")]
    pub shard_count: u64,
    /// Mean size of a request in units.
    #[serde(rename = "unit_mean")]
    pub mean_units: f64,
    /// Largest size of a request in units.
    #[serde(rename = "units_top")]
    pub max_units: f64,
    /// For each class, by index: whether its requests write.
    pub writes: Vec<bool>,
}

/// A plan, which states the service that its volumes get. Its figures apply to one volume, summed
/// over all gateways and nodes.
#[derive(Clone, Debug, Deserialize, Default, PartialEq)]
#[serde(default)]
pub struct PlanSettings {
    /// Capacity in units of the token bucket that enforces the limit.
    #[serde(rename = "cap_depth")]
    pub burst_capacity: f64,
    /// Units by which that token bucket may be overdrawn. The gateway does not use it.
    #[serde(rename = "limit_slack")]
    pub overdraft: f64,
    /// Name of the plan.
    pub name: String,
    /// dmClock limit: the rate in units per second that must not be exceeded; 0 for none.
    #[serde(rename = "never_over")]
    pub limit: f64,
    /// dmClock weight: the volume's share of the capacity beyond the reservations. It has no unit;
    /// only its ratio to that of other volumes counts.
    #[serde(rename = "parts")]
    pub weight: f64,
    /// Factor, without a unit, on the value of the volume's requests. The gateway does not use it.
    #[serde(rename = "pays")]
    pub tenant_weight: f64,
    /// dmClock reservation: the reserved rate in units per second; 0 for none.
    pub reservation: f64,
    /// Rate in units per second that a volume of this plan is provisioned for.
    #[serde(rename = "usual_rate")]
    pub provisioned_rate: f64,
}

/// Contents of a node's load report.
#[derive(Clone, Debug, Deserialize, Default, PartialEq)]
#[serde(default)]
pub struct ReportSettings {
    /// Names of the reported values, in their order. The gateway does not use them.
    #[serde(rename = "names")]
    pub value_names: Vec<String>,
}

/// Rules that a gateway must follow.
#[derive(Clone, Debug, Deserialize, Default, PartialEq)]
#[serde(default)]
pub struct RuleSettings {
    /// Fraction, from 0 to 1, of its full capacity that a node has right after its start.
    #[serde(rename = "cold_from")]
    pub initial_capacity: f64,
    /// Duration in milliseconds of slow start: a node has its full capacity this long after its
    /// start.
    #[serde(rename = "cold_ms")]
    pub slow_start_duration_ms: f64,
    /// Number of retries that are allowed in every window of the retry budget; absent counts as 0.
    #[serde(rename = "extra_free")]
    pub retry_allowance: Option<f64>,
    /// Length in milliseconds of the window over which the units dispatched to a node in slow start
    /// are counted.
    #[serde(rename = "fall_ms")]
    pub slow_start_window_ms: f64,
    /// Number of further retries that are allowed for each request received in the window of the
    /// retry budget; absent counts as 0.
    #[serde(rename = "further_ratio")]
    pub retry_ratio: Option<f64>,
    /// Longest interval in milliseconds between two polls of the endpoint list without a watch; 0
    /// for none.
    #[serde(rename = "must_ask_in_ms")]
    pub max_poll_interval_ms: f64,
    /// Time in milliseconds for which the next ordered request of an object key waits after an
    /// attempt that may still be running at its node.
    #[serde(rename = "order_settle_ms")]
    pub quiesce_period_ms: f64,
    /// Length in milliseconds of the retry budget's window; absent if there is no budget.
    #[serde(rename = "resend_span_ms")]
    pub retry_window_ms: Option<f64>,
    /// Time in milliseconds within which dispatches to a node must stop after the endpoint list has
    /// shown it as draining or removed.
    #[serde(rename = "stop_sending_within_ms")]
    pub drain_grace_ms: f64,
    /// Units that a node in slow start can process within one window, as a multiple, without a
    /// unit, of its capacity at that time.
    #[serde(rename = "tip_multiple")]
    pub slow_start_burst_factor: f64,
}
