//! Validation of values that have the right type but may still be unusable.

use super::error::{ConfigError, InvalidValue};
use super::keys;
use super::sections::Limits;
use deployment_settings::{ClassSettings, DeploymentSettings};
use log::LevelFilter;
use std::net::SocketAddr;

/// Smallest allowed limit on the number of file descriptors.
const MIN_MAX_DESCRIPTORS: usize = 64;
/// Smallest allowed memory limit, in MiB.
const MIN_MEMORY_MB: usize = 16;
/// Largest allowed memory limit, in MiB; a larger one is an error.
const MAX_MEMORY_MB: usize = 1 << 20;

/// The requirement on `deadline_ms` of the classes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum DeadlineRule {
    /// It may be absent, because every request over RESP states its own deadline.
    Optional,
    /// It must be at least the latency objective, because requests over SFTP state no deadline and
    /// get this one.
    AtLeastObjective,
}

/// Checks `settings` and `limits`, the sections that both kinds of file contain.
pub(super) fn check_shared_sections(
    settings: &DeploymentSettings,
    limits: &Limits,
    deadline_rule: DeadlineRule,
) -> Result<(), ConfigError> {
    if settings.classes.is_empty() {
        return Err(ConfigError::missing(keys::CLASSES));
    }
    if settings.plans.is_empty() {
        return Err(ConfigError::missing(keys::PLANS));
    }
    check_words(settings)?;
    for (index, class) in settings.classes.iter().enumerate() {
        check_class(index, class, deadline_rule)?;
    }
    if settings.permissions.max_attempts == 0 {
        let source = InvalidValue::BelowMinimum { min: 1 };
        return Err(ConfigError::invalid_value(keys::MAX_ATTEMPTS, source));
    }
    check_limits(limits)
}

/// Checks that the scheduler knows every word that the settings contain.
fn check_words(settings: &DeploymentSettings) -> Result<(), ConfigError> {
    match settings.to_scheduler_settings() {
        Ok(_) => Ok(()),
        Err(unknown) => {
            let key = keys::of_settings(unknown.key);
            let source = InvalidValue::UnknownWord(unknown.value);
            Err(ConfigError::invalid_value(&key, source))
        }
    }
}

/// Checks the times of one class.
fn check_class(
    index: usize,
    class: &ClassSettings,
    deadline_rule: DeadlineRule,
) -> Result<(), ConfigError> {
    let deadline_too_short =
        class.deadline_ms.is_nan() || class.deadline_ms < class.latency_objective_ms;
    if deadline_rule == DeadlineRule::AtLeastObjective && deadline_too_short {
        let key = keys::deadline(index);
        let source = InvalidValue::DeadlineBelowObjective;
        return Err(ConfigError::invalid_value(&key, source));
    }
    if class.latency_objective_ms.is_nan() || class.latency_objective_ms <= 0.0 {
        let key = keys::latency_objective(index);
        return Err(ConfigError::invalid_value(&key, InvalidValue::NotPositive));
    }
    Ok(())
}

/// Checks that the limits are within their ranges.
fn check_limits(limits: &Limits) -> Result<(), ConfigError> {
    if !(MIN_MEMORY_MB..=MAX_MEMORY_MB).contains(&limits.memory_mb) {
        let source = InvalidValue::OutOfRange {
            min: MIN_MEMORY_MB,
            max: MAX_MEMORY_MB,
        };
        return Err(ConfigError::invalid_value(keys::MEMORY_MB, source));
    }
    if limits.max_descriptors < MIN_MAX_DESCRIPTORS {
        let source = InvalidValue::BelowMinimum {
            min: MIN_MAX_DESCRIPTORS,
        };
        return Err(ConfigError::invalid_value(keys::MAX_DESCRIPTORS, source));
    }
    Ok(())
}

/// Parses an IP address with a port.
pub(super) fn parse_address(key: &str, text: &str) -> Result<SocketAddr, ConfigError> {
    text.parse().map_err(|_| {
        let source = InvalidValue::NotAnAddress(text.to_owned());
        ConfigError::invalid_value(key, source)
    })
}

/// Parses a hexadecimal number.
pub(super) fn parse_hexadecimal(key: &str, text: &str) -> Result<u64, ConfigError> {
    u64::from_str_radix(text, 16).map_err(|_| {
        let source = InvalidValue::NotHexadecimal(text.to_owned());
        ConfigError::invalid_value(key, source)
    })
}

/// Parses the log level; `info` if none is given.
pub(super) fn parse_log_level(key: &str, text: Option<&str>) -> Result<LevelFilter, ConfigError> {
    let Some(text) = text else {
        return Ok(LevelFilter::Info);
    };
    text.parse().map_err(|_| {
        let source = InvalidValue::UnknownLogLevel(text.to_owned());
        ConfigError::invalid_value(key, source)
    })
}
