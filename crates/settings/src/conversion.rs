//! Converts the decoded settings to the scheduler's settings.

use crate::time::micros;
use crate::types::{ClassSettings, DeploymentSettings, PlanSettings};
use crate::values::{DeduplicationScopeSetting, DiscoverySetting, IdempotencySetting};
use crate::UnknownValue;
use io_scheduler::{
    DeduplicationScope, Idempotency, Micros, RequestClass, RetryBudget, Settings, SlowStart, Units,
    UnitsPerSecond, VolumePlan,
};

impl DeploymentSettings {
    /// Converts the settings to the scheduler's settings.
    ///
    /// # Errors
    ///
    /// Returns an error if the idempotency or the deduplication scope of a class is unknown.
    pub fn to_scheduler_settings(&self) -> Result<Settings, UnknownValue> {
        let DeploymentSettings {
            features_and_limits,
            storage,
            rules,
            ..
        } = self;
        Ok(Settings {
            classes: self.request_classes()?,
            plans: self.plans.iter().map(VolumePlan::from).collect(),
            host_count: self.gateway_count,
            longest_client_timeout: self.longest_client_timeout(),
            max_attempts: features_and_limits.max_attempts,
            cancellation_allowed: features_and_limits.cancellation,
            discovery_clients: self.discovery_clients(),
            max_poll_interval: micros(rules.max_poll_interval_ms),
            slow_start: self.slow_start(),
            quiesce_period: micros(rules.quiesce_period_ms),
            retry_budget: self.retry_budget(),
            mean_units: Units(storage.mean_units),
            max_units: Units(storage.max_units),
            usage_report_period: micros(storage.usage_report_period_ms),
            reports_remote_units: storage.reports_remote_units,
            provisioned_value: storage.provisioned_value,
            surplus_value: storage.surplus_value,
        })
    }

    /// Converts the classes, in the order of the settings.
    fn request_classes(&self) -> Result<Vec<RequestClass>, UnknownValue> {
        self.classes.iter().map(RequestClass::try_from).collect()
    }

    /// Returns the longest time that clients wait for a response, over all classes.
    fn longest_client_timeout(&self) -> Micros {
        let timeouts = self.classes.iter().map(|class| micros(class.deadline_ms));
        timeouts.max().unwrap_or_default()
    }

    /// Returns the number of gateways that poll the same discovery endpoint: all of them if they
    /// poll the discovery service itself, 1 if each polls the agent on its own host, and 0 if this
    /// gateway polls neither.
    fn discovery_clients(&self) -> u32 {
        match self.discovery {
            DiscoverySetting::PollService => self.gateway_count.max(1),
            DiscoverySetting::Other(_) => u32::from(self.has_discovery_agent),
        }
    }

    /// Returns the slow-start parameters, which come from `rules` and `domain`.
    fn slow_start(&self) -> SlowStart {
        SlowStart {
            initial_capacity: self.rules.initial_capacity,
            duration: micros(self.rules.slow_start_duration_ms),
            window: micros(self.rules.slow_start_window_ms),
            burst_factor: self.rules.slow_start_burst_factor,
            initial_units_per_window: Units(self.storage.slow_start_units),
        }
    }

    /// Returns the retry budget; `None` if the settings do not set its window.
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
            idempotency: idempotency(class)?,
            ordered: class.ordered,
        })
    }
}

/// Converts the idempotency of a class. The deduplication scope is converted first and for every
/// class, so that an unknown scope is reported even if the class does not use it.
fn idempotency(class: &ClassSettings) -> Result<Idempotency, UnknownValue> {
    let scope = deduplication_scope(&class.deduplication_scope)?;
    match &class.idempotency {
        IdempotencySetting::Idempotent => Ok(Idempotency::Idempotent),
        IdempotencySetting::WithKey => Ok(Idempotency::WithKey {
            scope,
            window: micros(class.deduplication_window_ms),
        }),
        IdempotencySetting::NonIdempotent => Ok(Idempotency::NonIdempotent),
        IdempotencySetting::Unknown(value) => Err(UnknownValue {
            key: IdempotencySetting::KEY,
            value: value.clone(),
            expected: IdempotencySetting::EXPECTED,
        }),
    }
}

/// Converts the deduplication scope; the default is all nodes.
fn deduplication_scope(
    setting: &DeduplicationScopeSetting,
) -> Result<DeduplicationScope, UnknownValue> {
    match setting {
        DeduplicationScopeSetting::Unset | DeduplicationScopeSetting::All => {
            Ok(DeduplicationScope::All)
        }
        DeduplicationScopeSetting::Zone => Ok(DeduplicationScope::Zone),
        DeduplicationScopeSetting::Shard => Ok(DeduplicationScope::Shard),
        DeduplicationScopeSetting::Unknown(value) => Err(UnknownValue {
            key: DeduplicationScopeSetting::KEY,
            value: value.clone(),
            expected: DeduplicationScopeSetting::EXPECTED,
        }),
    }
}

impl From<&PlanSettings> for VolumePlan {
    fn from(plan: &PlanSettings) -> Self {
        VolumePlan {
            reservation: UnitsPerSecond(plan.reservation),
            weight: plan.weight,
            limit: UnitsPerSecond(plan.limit),
            burst_capacity: Units(plan.burst_capacity),
            provisioned_rate: UnitsPerSecond(plan.provisioned_rate),
        }
    }
}
