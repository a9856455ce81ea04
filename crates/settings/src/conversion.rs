//! Conversion of the decoded settings to those of the decision module.

use crate::time::micros;
use crate::types::{ClassSettings, DeploymentSettings, PlanSettings};
use crate::UnknownValue;
use io_scheduler::{
    DeduplicationScope, Idempotency, RequestClass, RetryBudget, Settings, SlowStart, VolumePlan,
};

/// Value of `discovery` if every gateway polls the discovery service.
const SUBSCRIBE: &str = "subscribe";

impl DeploymentSettings {
    /// The settings of the decision module.
    ///
    /// # Errors
    ///
    /// If the idempotency or the deduplication scope of a class is not a known word.
    pub fn to_scheduler_settings(&self) -> Result<Settings, UnknownValue> {
        let (allowed, domain, rules) = (&self.allowed, &self.domain, &self.rules);
        Ok(Settings {
            classes: self.request_classes()?,
            plans: self.plans.iter().map(VolumePlan::from).collect(),
            hosts: self.gateway_count,
            max_attempts: allowed.max_attempts,
            hedging_allowed: allowed.hedging,
            cancellation_allowed: allowed.cancellation,
            health_checks_allowed: allowed.health_checks,
            discovery_clients: self.discovery_clients(),
            max_poll_interval: micros(rules.max_poll_interval_ms),
            drain_grace: micros(rules.drain_grace_ms),
            slow_start: self.slow_start(),
            quiesce_period: micros(rules.quiesce_period_ms),
            retry_budget: self.retry_budget(),
            mean_units: domain.mean_units,
            max_units: domain.max_units,
            usage_report_period: micros(domain.usage_report_period_ms),
            reports_remote_units: domain.reports_remote_units,
            within_share_value: domain.within_share_value,
            surplus_value: domain.surplus_value,
        })
    }

    fn request_classes(&self) -> Result<Vec<RequestClass>, UnknownValue> {
        self.classes.iter().map(RequestClass::try_from).collect()
    }

    /// Number of gateways that poll the same discovery service.
    fn discovery_clients(&self) -> u32 {
        if self.discovery == SUBSCRIBE {
            return self.gateway_count.max(1);
        }
        u32::from(self.has_agent)
    }

    fn slow_start(&self) -> SlowStart {
        SlowStart {
            initial_capacity: self.rules.initial_capacity,
            duration: micros(self.rules.slow_start_duration_ms),
            window: micros(self.rules.slow_start_window_ms),
            burst_factor: self.rules.slow_start_burst_factor,
            units: self.domain.slow_start_units,
        }
    }

    fn retry_budget(&self) -> Option<RetryBudget> {
        let window_ms = self.rules.retry_window_ms?;
        Some(RetryBudget {
            window: micros(window_ms),
            allowance: self.rules.retry_allowance.unwrap_or_default(),
            ratio: self.rules.retry_ratio.unwrap_or_default(),
        })
    }
}

impl TryFrom<&ClassSettings> for RequestClass {
    type Error = UnknownValue;

    fn try_from(class: &ClassSettings) -> Result<Self, Self::Error> {
        Ok(RequestClass {
            latency_objective: micros(class.latency_objective_ms),
            priority_weight: class.priority_weight,
            late_value: class.late_value,
            idempotency: idempotency(class)?,
            ordered: class.ordered,
        })
    }
}

/// The scope is checked for every class, although only idempotency by key uses it.
fn idempotency(class: &ClassSettings) -> Result<Idempotency, UnknownValue> {
    let scope = deduplication_scope(&class.deduplication_scope)?;
    match class.idempotency.as_str() {
        "pure" => Ok(Idempotency::Idempotent),
        "token" => Ok(Idempotency::Keyed { scope, window: micros(class.deduplication_window_ms) }),
        "side_effect" => Ok(Idempotency::NonIdempotent),
        other => Err(UnknownValue { key: "classes.effect", value: other.to_owned() }),
    }
}

fn deduplication_scope(word: &str) -> Result<DeduplicationScope, UnknownValue> {
    match word {
        "zone" => Ok(DeduplicationScope::Zone),
        "cell" => Ok(DeduplicationScope::Shard),
        "all" | "" => Ok(DeduplicationScope::All),
        other => Err(UnknownValue { key: "classes.group", value: other.to_owned() }),
    }
}

impl From<&PlanSettings> for VolumePlan {
    fn from(plan: &PlanSettings) -> Self {
        VolumePlan {
            reservation: plan.reservation,
            weight: plan.weight,
            limit: plan.limit,
            burst_capacity: plan.burst_capacity,
            overdraft: plan.overdraft,
            tenant_weight: plan.tenant_weight,
            provisioned_rate: plan.provisioned_rate,
        }
    }
}
