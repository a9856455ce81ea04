//! Validation of configuration values beyond their type.

use super::error::{ConfigError, InvalidValue};
use super::keys;
use super::sections::Limits;
use deployment_settings::{ClassSettings, DeploymentSettings};
use log::LevelFilter;
use std::net::SocketAddr;

/// Smallest allowed value of `limits.sockets`.
const MIN_MAX_DESCRIPTORS: usize = 64;
/// Smallest allowed value of `limits.memory_mb`, in MiB.
const MIN_MEMORY_MB: usize = 16;
/// Largest allowed value of `limits.memory_mb`, in MiB: 1 TiB.
const MAX_MEMORY_MB: usize = 1 << 20;

/// The requirement on the `deadline_ms` of every class.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum DeadlineRule {
    /// The deadline may be absent. Used without SFTP, because every RESP request has its own
    /// deadline.
    Optional,
    /// The deadline must be at least the latency objective. Used with SFTP, because SFTP requests
    /// have no deadline of their own and get the one of their class.
    AtLeastObjective,
}

/// Checks `settings` and `limits`, the sections that both configuration files have.
pub(super) fn check_shared_sections(
    settings: &DeploymentSettings,
    limits: &Limits,
    deadline_rule: DeadlineRule,
) -> Result<(), ConfigError> {
    if settings.classes.is_empty() {
        return Err(ConfigError::missing(keys::CLASSES, "at least one class"));
    }
    if settings.plans.is_empty() {
        return Err(ConfigError::missing(keys::PLANS, "at least one plan"));
    }
    check_enumerated_values(settings)?;
    for (index, class) in settings.classes.iter().enumerate() {
        check_class(index, class, deadline_rule)?;
    }
    if settings.features_and_limits.max_attempts == 0 {
        let source = InvalidValue::BelowMinimum { value: 0, min: 1 };
        return Err(ConfigError::invalid_value(keys::MAX_ATTEMPTS, source));
    }
    check_limits(limits)
}

/// Checks the settings that accept a fixed set of values: each must have one of them.
fn check_enumerated_values(settings: &DeploymentSettings) -> Result<(), ConfigError> {
    match settings.to_scheduler_settings() {
        Ok(_) => Ok(()),
        Err(unknown) => {
            let key = keys::settings_key(unknown.key);
            let source = InvalidValue::UnexpectedValue {
                value: unknown.value,
                expected: unknown.expected,
            };
            Err(ConfigError::invalid_value(&key, source))
        }
    }
}

/// Checks the deadline and the latency objective of a class.
fn check_class(
    index: usize,
    class: &ClassSettings,
    deadline_rule: DeadlineRule,
) -> Result<(), ConfigError> {
    let deadline_too_short =
        class.deadline_ms.is_nan() || class.deadline_ms < class.latency_objective_ms;
    if deadline_rule == DeadlineRule::AtLeastObjective && deadline_too_short {
        let key = keys::deadline(index);
        let source = InvalidValue::DeadlineBelowObjective {
            deadline_ms: class.deadline_ms.to_string(),
            latency_objective_ms: class.latency_objective_ms.to_string(),
        };
        return Err(ConfigError::invalid_value(&key, source));
    }
    if class.latency_objective_ms.is_nan() || class.latency_objective_ms <= 0.0 {
        let key = keys::latency_objective(index);
        return Err(ConfigError::invalid_value(
            &key,
            InvalidValue::NotPositive(class.latency_objective_ms.to_string()),
        ));
    }
    Ok(())
}

/// Checks that the limits of the process are within their ranges.
fn check_limits(limits: &Limits) -> Result<(), ConfigError> {
    if !(MIN_MEMORY_MB..=MAX_MEMORY_MB).contains(&limits.memory_mb) {
        let source = InvalidValue::OutOfRange {
            value: limits.memory_mb,
            min: MIN_MEMORY_MB,
            max: MAX_MEMORY_MB,
        };
        return Err(ConfigError::invalid_value(keys::MEMORY_MB, source));
    }
    if limits.max_descriptors < MIN_MAX_DESCRIPTORS {
        let source = InvalidValue::BelowMinimum {
            value: limits.max_descriptors,
            min: MIN_MAX_DESCRIPTORS,
        };
        return Err(ConfigError::invalid_value(keys::MAX_DESCRIPTORS, source));
    }
    Ok(())
}

/// Parses an IP address and port. `key` is the key of the value, for errors.
pub(super) fn parse_address(key: &str, text: &str) -> Result<SocketAddr, ConfigError> {
    text.parse().map_err(|_| {
        let source = InvalidValue::NotAnAddress(text.to_owned());
        ConfigError::invalid_value(key, source)
    })
}

/// Parses a hexadecimal number of at most 64 bits. `key` is the key of the value, for errors.
pub(super) fn parse_hexadecimal(key: &str, text: &str) -> Result<u64, ConfigError> {
    u64::from_str_radix(text, 16).map_err(|_| {
        let source = InvalidValue::NotHexadecimal(text.to_owned());
        ConfigError::invalid_value(key, source)
    })
}

/// Parses the name of a log level; `None` gives `info`. `key` is the key of the value, for errors.
pub(super) fn parse_log_level(key: &str, text: Option<&str>) -> Result<LevelFilter, ConfigError> {
    let Some(text) = text else {
        return Ok(LevelFilter::Info);
    };
    text.parse().map_err(|_| {
        let source = InvalidValue::UnknownLogLevel(text.to_owned());
        ConfigError::invalid_value(key, source)
    })
}
