//! The settings of a deployment, decoded once for every program here.
//!
//! The object comes with the simulator's first message and stands under `settings` in a gateway's
//! configuration: one type serves both, and its conversion to the decision module's settings is here.
#![forbid(unsafe_code)]

use serde::Deserialize;
use std::fmt;

/// Milliseconds of the wire to microseconds; beyond any clock's range the cast stops at its end.
pub fn micros(ms: f64) -> io_scheduler::Micros {
    (ms * 1000.0).round() as io_scheduler::Micros
}

/// The settings; absent numbers are 0 and absent flags false, as everywhere on the wire.
#[derive(Clone, Debug, Deserialize, Default, PartialEq)]
#[serde(default)]
pub struct DeploymentSettings {
    pub allowed: AllowedFeatures,
    pub classes: Vec<ClassSettings>,
    pub discovery: String,
    /// Lists are pushed to an agent, and the program asks that one; not a setting, but where it runs tells.
    #[serde(skip)]
    pub has_agent: bool,
    pub domain: DomainSettings,
    pub group_size: u32,
    pub plans: Vec<PlanSettings>,
    pub report: ReportSettings,
    pub rules: RuleSettings,
    pub zones: Vec<String>,
}

#[derive(Clone, Debug, Deserialize, Default, PartialEq)]
#[serde(default)]
pub struct AllowedFeatures {
    pub max_attempts: u32,
    pub conn_idle_ms: f64,
    pub connect_timeout_ms: f64,
    pub may_cancel: bool,
    pub probes: bool,
    pub second_copies: bool,
}

#[derive(Clone, Debug, Deserialize, Default, PartialEq)]
#[serde(default)]
pub struct ClassSettings {
    pub aim_ms: f64,
    pub by_arrival: bool,
    pub deadline_ms: f64,
    pub effect: String,
    pub group: String,
    pub key_ttl_ms: f64,
    pub late_value: f64,
    pub name: String,
    pub points: f64,
}

#[derive(Clone, Debug, Deserialize, Default, PartialEq)]
#[serde(default)]
pub struct DomainSettings {
    pub cold_bears: f64,
    pub counts_others: bool,
    pub fair_worth: f64,
    pub meter_ms: f64,
    pub spare_worth: f64,
    pub n_shards: u64,
    pub unit_mean: f64,
    pub units_top: f64,
    /// For each class: whether it writes.
    pub writes: Vec<bool>,
}

#[derive(Clone, Debug, Deserialize, Default, PartialEq)]
#[serde(default)]
pub struct PlanSettings {
    pub cap_depth: f64,
    pub limit_slack: f64,
    pub name: String,
    pub never_over: f64,
    pub parts: f64,
    pub pays: f64,
    pub reservation: f64,
    pub usual_rate: f64,
}

#[derive(Clone, Debug, Deserialize, Default, PartialEq)]
#[serde(default)]
pub struct ReportSettings {
    pub names: Vec<String>,
}

#[derive(Clone, Debug, Deserialize, Default, PartialEq)]
#[serde(default)]
pub struct RuleSettings {
    pub cold_from: f64,
    pub cold_ms: f64,
    pub extra_free: Option<f64>,
    pub fall_ms: f64,
    pub further_ratio: Option<f64>,
    pub must_ask_in_ms: f64,
    pub order_settle_ms: f64,
    pub resend_span_ms: Option<f64>,
    pub stop_sending_within_ms: f64,
    pub tip_multiple: f64,
}

/// A word that the settings use and this program does not know.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UnknownValue {
    pub key: &'static str,
    pub value: String,
}

impl fmt::Display for UnknownValue {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "field {}: '{}' is unknown", self.key, self.value)
    }
}

impl std::error::Error for UnknownValue {}

impl DeploymentSettings {
    /// What the decision module is told of these settings.
    pub fn to_scheduler_settings(&self) -> Result<io_scheduler::Settings, UnknownValue> {
        let mut classes = Vec::new();
        for c in &self.classes {
            let scope = match c.group.as_str() {
                "zone" => io_scheduler::DeduplicationScope::Zone,
                "cell" => io_scheduler::DeduplicationScope::Shard,
                "all" | "" => io_scheduler::DeduplicationScope::All,
                other => return Err(UnknownValue { key: "classes.group", value: other.to_owned() }),
            };
            classes.push(io_scheduler::RequestClass {
                latency_objective: micros(c.aim_ms),
                priority_weight: c.points,
                late_value: c.late_value,
                idempotency: match c.effect.as_str() {
                    "pure" => io_scheduler::Idempotency::Idempotent,
                    "token" => io_scheduler::Idempotency::Keyed { scope, window: micros(c.key_ttl_ms) },
                    "side_effect" => io_scheduler::Idempotency::NonIdempotent,
                    other => return Err(UnknownValue { key: "classes.effect", value: other.to_owned() }),
                },
                ordered: c.by_arrival,
            });
        }
        let plans = self.plans.iter().map(|p| io_scheduler::VolumePlan {
            reservation: p.reservation,
            weight: p.parts,
            limit: p.never_over,
            burst_capacity: p.cap_depth,
            overdraft: p.limit_slack,
            tenant_weight: p.pays,
            provisioned_rate: p.usual_rate,
        });
        let (rules, domain) = (&self.rules, &self.domain);
        Ok(io_scheduler::Settings {
            classes,
            plans: plans.collect(),
            hosts: self.group_size,
            max_attempts: self.allowed.max_attempts,
            hedging_allowed: self.allowed.second_copies,
            cancellation_allowed: self.allowed.may_cancel,
            health_checks_allowed: self.allowed.probes,
            discovery_clients: match self.discovery.as_str() {
                "subscribe" => self.group_size.max(1),
                _ => u32::from(self.has_agent),
            },
            max_poll_interval: micros(rules.must_ask_in_ms),
            drain_grace: micros(rules.stop_sending_within_ms),
            slow_start: io_scheduler::SlowStart {
                initial_capacity: rules.cold_from,
                duration: micros(rules.cold_ms),
                window: micros(rules.fall_ms),
                burst_factor: rules.tip_multiple,
                units: domain.cold_bears,
            },
            quiesce_period: micros(rules.order_settle_ms),
            retry_budget: rules.resend_span_ms.map(|span| io_scheduler::RetryBudget {
                window: micros(span),
                allowance: rules.extra_free.unwrap_or_default(),
                ratio: rules.further_ratio.unwrap_or_default(),
            }),
            mean_units: domain.unit_mean,
            max_units: domain.units_top,
            usage_report_period: micros(domain.meter_ms),
            reports_remote_units: domain.counts_others,
            within_share_value: domain.fair_worth,
            surplus_value: domain.spare_worth,
        })
    }
}
