//! The settings as they are decoded. An absent number is 0, an absent flag is false, an absent string or list
//! is empty; unknown keys are ignored.

use serde::Deserialize;

/// Everything that a deployment states about its gateways, volumes and storage nodes.
#[derive(Clone, Debug, Deserialize, Default, PartialEq)]
#[serde(default)]
pub struct DeploymentSettings {
    /// Features that the deployment lets a gateway use.
    pub allowed: AllowedFeatures,
    /// Classes of request; requests refer to them by index.
    pub classes: Vec<ClassSettings>,
    /// How gateways learn the endpoint list; `subscribe` if each of them polls the discovery service.
    pub discovery: String,
    /// The endpoint list is pushed to an agent on the gateway's host, and the gateway polls that agent. Not
    /// part of the decoded object: the program sets it from where it runs.
    #[serde(skip)]
    pub has_agent: bool,
    /// Properties of the stored data and of the storage nodes.
    pub domain: DomainSettings,
    /// Number of gateways that work beside each other, this one included.
    #[serde(rename = "group_size")]
    pub gateway_count: u32,
    /// Plans of volumes; requests refer to them by index.
    pub plans: Vec<PlanSettings>,
    /// Contents of a node's load report.
    #[serde(rename = "report")]
    pub load_report: ReportSettings,
    /// Rules that a gateway must follow.
    pub rules: RuleSettings,
    /// Names of the zones.
    pub zones: Vec<String>,
}

/// Features that a deployment allows, and the limits of connections.
#[derive(Clone, Debug, Deserialize, Default, PartialEq)]
#[serde(default)]
pub struct AllowedFeatures {
    /// Attempts allowed for one request, the first included.
    pub max_attempts: u32,
    /// Milliseconds without traffic after which a storage node closes a connection.
    pub conn_idle_ms: f64,
    /// Milliseconds within which a connection to a storage node must be established.
    pub connect_timeout_ms: f64,
    /// An attempt may be cancelled.
    #[serde(rename = "may_cancel")]
    pub cancellation: bool,
    /// Health checks may be sent to nodes.
    #[serde(rename = "probes")]
    pub health_checks: bool,
    /// A request may be hedged: two of its attempts may be in flight at once.
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
    /// Requests for one object key run in the order of their arrival.
    #[serde(rename = "by_arrival")]
    pub ordered: bool,
    /// Milliseconds after which the client gives up.
    pub deadline_ms: f64,
    /// Whether a request may run twice: `pure` (idempotent), `token` (idempotent by key) or `side_effect`.
    #[serde(rename = "effect")]
    pub idempotency: String,
    /// Nodes that recognize a repeated idempotency key: `zone` (those of one zone), `cell` (those of one
    /// shard), or `all`, also if empty.
    #[serde(rename = "group")]
    pub deduplication_scope: String,
    /// Milliseconds for which a node recognizes an idempotency key.
    #[serde(rename = "key_ttl_ms")]
    pub deduplication_window_ms: f64,
    /// Fraction of the value that is left after the latency objective.
    pub late_value: f64,
    /// Name of the class.
    pub name: String,
    /// Value of one request of mean size.
    #[serde(rename = "points")]
    pub priority_weight: f64,
}

/// Properties of the stored data and of the storage nodes.
#[derive(Clone, Debug, Deserialize, Default, PartialEq)]
#[serde(default)]
pub struct DomainSettings {
    /// Units that a node can take within a slow-start window right after its start, from all gateways.
    #[serde(rename = "cold_bears")]
    pub slow_start_units: f64,
    /// Responses state the units that the node served for the volume through other gateways.
    #[serde(rename = "counts_others")]
    pub reports_remote_units: bool,
    /// Fraction of a request's value that units within the volume's share have.
    #[serde(rename = "fair_worth")]
    pub within_share_value: f64,
    /// Period of the usage report in milliseconds; 0 if responses carry none.
    #[serde(rename = "meter_ms")]
    pub usage_report_period_ms: f64,
    /// Fraction of a request's value that units beyond the volume's share have.
    #[serde(rename = "spare_worth")]
    pub surplus_value: f64,
    /// Number of shards of the data.
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

/// A plan of volumes. Rates are units per second of one volume over all gateways and nodes.
#[derive(Clone, Debug, Deserialize, Default, PartialEq)]
#[serde(default)]
pub struct PlanSettings {
    /// Capacity in units of the token bucket that enforces the limit.
    #[serde(rename = "cap_depth")]
    pub burst_capacity: f64,
    /// Units by which that token bucket may be overdrawn.
    #[serde(rename = "limit_slack")]
    pub overdraft: f64,
    /// Name of the plan.
    pub name: String,
    /// dmClock limit: the rate that must not be exceeded; 0 for none.
    #[serde(rename = "never_over")]
    pub limit: f64,
    /// dmClock weight: the share of what the reservations leave.
    #[serde(rename = "parts")]
    pub weight: f64,
    /// Factor on the value of the volume's requests.
    #[serde(rename = "pays")]
    pub tenant_weight: f64,
    /// dmClock reservation: the reserved rate; 0 for none.
    pub reservation: f64,
    /// Rate that a volume of this plan is provisioned for.
    #[serde(rename = "usual_rate")]
    pub provisioned_rate: f64,
}

/// Contents of a node's load report.
#[derive(Clone, Debug, Deserialize, Default, PartialEq)]
#[serde(default)]
pub struct ReportSettings {
    /// Names of the reported values, in their order.
    #[serde(rename = "names")]
    pub value_names: Vec<String>,
}

/// Rules that a gateway must follow.
#[derive(Clone, Debug, Deserialize, Default, PartialEq)]
#[serde(default)]
pub struct RuleSettings {
    /// Fraction of its full capacity that a node has right after its start.
    #[serde(rename = "cold_from")]
    pub initial_capacity: f64,
    /// Milliseconds after its start within which a node reaches its full capacity.
    #[serde(rename = "cold_ms")]
    pub slow_start_duration_ms: f64,
    /// Retries that are allowed in every window of the retry budget; absent counts as 0.
    #[serde(rename = "extra_free")]
    pub retry_allowance: Option<f64>,
    /// Length in milliseconds of the window over which the work sent to a warming node is counted.
    #[serde(rename = "fall_ms")]
    pub slow_start_window_ms: f64,
    /// Further retries that are allowed for each request received in that window; absent counts as 0.
    #[serde(rename = "further_ratio")]
    pub retry_ratio: Option<f64>,
    /// Longest interval in milliseconds between two polls of the endpoint list without a watch; 0 for none.
    #[serde(rename = "must_ask_in_ms")]
    pub max_poll_interval_ms: f64,
    /// Milliseconds for which an object key stays blocked after an attempt that may still be running.
    #[serde(rename = "order_settle_ms")]
    pub quiesce_period_ms: f64,
    /// Length in milliseconds of the retry budget's window; absent if there is no budget.
    #[serde(rename = "resend_span_ms")]
    pub retry_window_ms: Option<f64>,
    /// Milliseconds after the notice that a node is draining or removed within which dispatches to it stop.
    #[serde(rename = "stop_sending_within_ms")]
    pub drain_grace_ms: f64,
    /// Work that a warming node can take within a window, as a multiple of its capacity at that time.
    #[serde(rename = "tip_multiple")]
    pub slow_start_burst_factor: f64,
}
