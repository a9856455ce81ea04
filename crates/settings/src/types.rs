//! The types that serde decodes the settings object into.
//!
//! An absent number decodes to 0, an absent flag to false, and an absent string or list is empty,
//! unless the comment on the field or its type says otherwise. Unknown keys are ignored. The
//! comment on a field gives its unit, and notes if the gateway does not use it.
//!
//! The decoder's error messages contain the names of these types, so renaming a type changes their
//! text.

use crate::values::{DeduplicationScopeSetting, DiscoverySetting, IdempotencySetting};
use serde::Deserialize;

/// The settings of a deployment: its gateways, volumes and storage nodes.
#[derive(Clone, Debug, Deserialize, Default, PartialEq)]
#[serde(default)]
pub struct DeploymentSettings {
    /// Optional features that the deployment allows, and limits on attempts and connections.
    #[serde(rename = "allowed")]
    pub features_and_limits: AllowedFeatures,
    /// Request classes. The scheduler refers to a class by its index in this list.
    pub classes: Vec<ClassSettings>,
    /// How gateways get the endpoint list.
    pub discovery: DiscoverySetting,
    /// Whether a discovery agent runs on the gateway's host. The discovery service pushes the
    /// endpoint list to the agent, and the gateway polls the agent. The settings object has no key
    /// for this field; the gateway sets it from its own configuration.
    #[serde(skip)]
    pub has_discovery_agent: bool,
    /// Properties of the stored data and of the storage nodes.
    #[serde(rename = "domain")]
    pub storage: DomainSettings,
    /// Number of gateways in the deployment, including this one.
    #[serde(rename = "group_size")]
    pub gateway_count: u32,
    /// Volume plans. The scheduler refers to a plan by its index in this list.
    pub plans: Vec<PlanSettings>,
    /// Contents of a node's load report. The gateway does not use this field.
    #[serde(rename = "report")]
    pub load_report: ReportSettings,
    /// Parameters of slow start, retries, polling, draining and ordering for every gateway.
    pub rules: RuleSettings,
    /// Names of the zones of the storage nodes.
    pub zones: Vec<String>,
}

/// Optional features that a deployment allows, and limits on attempts and connections.
#[derive(Clone, Debug, Deserialize, Default, PartialEq)]
#[serde(default)]
pub struct AllowedFeatures {
    /// Maximum number of attempts for one request, including the first.
    pub max_attempts: u32,
    /// Time in milliseconds after which a storage node closes an idle connection.
    pub conn_idle_ms: f64,
    /// Timeout in milliseconds for establishing a connection to a storage node.
    pub connect_timeout_ms: f64,
    /// Whether an attempt in flight may be cancelled.
    #[serde(rename = "may_cancel")]
    pub cancellation: bool,
    /// Whether gateways may send health checks to nodes. The gateway does not use this field and
    /// sends none.
    #[serde(rename = "probes")]
    pub health_checks: bool,
    /// Whether a request may be hedged, that is, have two attempts in flight at the same time. The
    /// gateway does not use this field and hedges no request.
    #[serde(rename = "second_copies")]
    pub hedging: bool,
}

/// A request class.
#[derive(Clone, Debug, Deserialize, Default, PartialEq)]
#[serde(default)]
pub struct ClassSettings {
    /// Latency objective: time in milliseconds after its receipt within which a request should be
    /// served. A later response has only the fraction `late_value` of its value.
    #[serde(rename = "aim_ms")]
    pub latency_objective_ms: f64,
    /// Whether requests for the same object key are executed one after the other, in the order of
    /// their receipt.
    #[serde(rename = "by_arrival")]
    pub ordered: bool,
    /// Time in milliseconds after which the client stops waiting for the response.
    pub deadline_ms: f64,
    /// Whether a request may be executed twice. Every class must set it.
    #[serde(rename = "effect")]
    pub idempotency: IdempotencySetting,
    /// The nodes that recognize the idempotency keys of each other's requests.
    #[serde(rename = "group")]
    pub deduplication_scope: DeduplicationScopeSetting,
    /// Time in milliseconds for which a node remembers an idempotency key and drops duplicates.
    #[serde(rename = "key_ttl_ms")]
    pub deduplication_window_ms: f64,
    /// Fraction of its value, from 0 to 1, that a response keeps if it arrives after the latency
    /// objective. The gateway does not use this field.
    pub late_value: f64,
    /// Name of the class.
    pub name: String,
    /// Weight by which the queued requests of a volume at a shard are ordered, highest first. It
    /// has no unit: only the order of the classes matters.
    #[serde(rename = "points")]
    pub priority_weight: f64,
}

/// Properties of the stored data and of the storage nodes. Units measure the size of a request
/// and the work that it causes at a node.
#[derive(Clone, Debug, Deserialize, Default, PartialEq)]
#[serde(default)]
pub struct DomainSettings {
    /// Units that a node can process in the first slow-start window after its start, summed over
    /// all gateways.
    #[serde(rename = "cold_bears")]
    pub slow_start_units: f64,
    /// Whether a response reports the units that the node served for the volume through other
    /// gateways.
    #[serde(rename = "counts_others")]
    pub reports_remote_units: bool,
    /// Value of units that are within the volume's provisioned rate but beyond its reservation, as
    /// a fraction, from 0 to 1, of the value of reserved units.
    #[serde(rename = "fair_worth")]
    pub provisioned_value: f64,
    /// Period of the usage reports in milliseconds; 0 if responses contain no usage report.
    #[serde(rename = "meter_ms")]
    pub usage_report_period_ms: f64,
    /// Value of units beyond the volume's provisioned rate, as a fraction, from 0 to 1, of the
    /// value of reserved units.
    #[serde(rename = "spare_worth")]
    pub surplus_value: f64,
    /// Number of shards.
    #[serde(rename = "n_shards")]
    pub shard_count: u64,
    /// Mean size of a request in units.
    #[serde(rename = "unit_mean")]
    pub mean_units: f64,
    /// Largest size of a request in units.
    #[serde(rename = "units_top")]
    pub max_units: f64,
    /// Whether the requests of a class write, by the index of the class.
    pub writes: Vec<bool>,
}

/// A plan: reservation, weight, limit and provisioned rate of a volume. The values apply to each
/// volume of the plan, summed over all gateways and nodes.
#[derive(Clone, Debug, Deserialize, Default, PartialEq)]
#[serde(default)]
pub struct PlanSettings {
    /// Capacity in units of the token bucket that enforces the limit.
    #[serde(rename = "cap_depth")]
    pub burst_capacity: f64,
    /// Units by which that token bucket may be overdrawn. The gateway does not use this field.
    #[serde(rename = "limit_slack")]
    pub overdraft: f64,
    /// Name of the plan.
    pub name: String,
    /// dmClock limit: the maximum rate in units per second; 0 for no limit.
    #[serde(rename = "never_over")]
    pub limit: f64,
    /// dmClock weight: the volume's share of the capacity that remains after the reservations. It
    /// has no unit: only the ratios between volumes matter.
    #[serde(rename = "parts")]
    pub weight: f64,
    /// Dimensionless factor on the value of the volume's requests. The gateway does not use this
    /// field.
    #[serde(rename = "pays")]
    pub tenant_weight: f64,
    /// dmClock reservation: the reserved rate in units per second; 0 for no reservation.
    pub reservation: f64,
    /// Provisioned rate of the volume in units per second.
    #[serde(rename = "usual_rate")]
    pub provisioned_rate: f64,
}

/// Contents of a node's load report.
#[derive(Clone, Debug, Deserialize, Default, PartialEq)]
#[serde(default)]
pub struct ReportSettings {
    /// Names of the reported values, in the order of the report. The gateway does not use this
    /// field.
    #[serde(rename = "names")]
    pub value_names: Vec<String>,
}

/// Parameters of slow start, retries, polling, draining and ordering for every gateway.
#[derive(Clone, Debug, Deserialize, Default, PartialEq)]
#[serde(default)]
pub struct RuleSettings {
    /// Fraction of its full capacity, from 0 to 1, that a node has at its start.
    #[serde(rename = "cold_from")]
    pub initial_capacity: f64,
    /// Duration of slow start in milliseconds, from the start of the node until it has its full
    /// capacity.
    #[serde(rename = "cold_ms")]
    pub slow_start_duration_ms: f64,
    /// Number of retries that the retry budget allows in every window, regardless of the number of
    /// requests; absent counts as 0.
    #[serde(rename = "extra_free")]
    pub retry_allowance: Option<f64>,
    /// Length in milliseconds of the window in which the units dispatched to a node in slow start
    /// are limited.
    #[serde(rename = "fall_ms")]
    pub slow_start_window_ms: f64,
    /// Number of additional retries that the retry budget allows for each request received in its
    /// window; absent counts as 0.
    #[serde(rename = "further_ratio")]
    pub retry_ratio: Option<f64>,
    /// Maximum interval in milliseconds between two polls of the endpoint list while there is no
    /// watch; 0 for none. It limits only the jitter of a poll, to half of this interval.
    #[serde(rename = "must_ask_in_ms")]
    pub max_poll_interval_ms: f64,
    /// Quiesce period in milliseconds: how long the next ordered request of an object key waits
    /// after an attempt of that key timed out, was reset or was cancelled, because its node may
    /// still be executing it.
    #[serde(rename = "order_settle_ms")]
    pub quiesce_period_ms: f64,
    /// Length of the retry budget's window in milliseconds; absent for no retry budget.
    #[serde(rename = "resend_span_ms")]
    pub retry_window_ms: Option<f64>,
    /// Drain grace period in milliseconds: how long after an endpoint list first shows a node as
    /// draining or removed the gateway may still send it requests.
    #[serde(rename = "stop_sending_within_ms")]
    pub drain_grace_ms: f64,
    /// Burst that a node in slow start can handle: the units dispatched to it in one window may be
    /// this factor times the units provisioned for the window, scaled to the node's current
    /// capacity.
    #[serde(rename = "tip_multiple")]
    pub slow_start_burst_factor: f64,
}
