//! Settings that accept a fixed set of values. Only this module contains the values as they are
//! written in the settings object.
//!
//! An unknown value decodes to a variant that holds it, and
//! [`DeploymentSettings::to_scheduler_settings`] decides whether it is an error. A misspelled value
//! is therefore reported as an invalid value of its key, not as an error of the decoder.
//!
//! [`DeploymentSettings::to_scheduler_settings`]: crate::DeploymentSettings::to_scheduler_settings

use serde::Deserialize;

/// Whether the requests of a class may be executed twice.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(from = "String")]
pub enum IdempotencySetting {
    /// Idempotent: a second execution has no further effect.
    Idempotent,
    /// A request with an idempotency key: it may be dispatched again within the deduplication scope
    /// and window of the class, where nodes recognize the key and drop the duplicate.
    WithKey,
    /// Not idempotent: a second execution would take effect again.
    NonIdempotent,
    /// Any other value.
    Unknown(String),
}

impl IdempotencySetting {
    /// Path of the key within the settings object, without list indices.
    pub const KEY: &str = "classes.effect";
    /// The accepted values, for errors.
    pub const EXPECTED: &str = "pure, token or side_effect";
}

impl From<String> for IdempotencySetting {
    fn from(value: String) -> Self {
        match value.as_str() {
            "pure" => Self::Idempotent,
            "token" => Self::WithKey,
            "side_effect" => Self::NonIdempotent,
            _ => Self::Unknown(value),
        }
    }
}

/// An absent value is [`Unknown`](IdempotencySetting::Unknown), because no default is safe: every
/// class must set its idempotency.
impl Default for IdempotencySetting {
    fn default() -> Self {
        Self::Unknown(String::new())
    }
}

/// The nodes that share their records of idempotency keys. Each of them recognizes a key that
/// another one has received.
#[derive(Clone, Debug, Default, Deserialize, PartialEq)]
#[serde(from = "String")]
pub enum DeduplicationScopeSetting {
    /// The setting is absent or empty, which has the same effect as [`All`](Self::All).
    #[default]
    Unset,
    /// All nodes of the deployment.
    All,
    /// The nodes of one zone.
    Zone,
    /// The nodes of one shard.
    Shard,
    /// Any other value.
    Unknown(String),
}

impl DeduplicationScopeSetting {
    /// Path of the key within the settings object, without list indices.
    pub const KEY: &str = "classes.group";
    /// The accepted values, for errors.
    pub const EXPECTED: &str = "all, zone, cell or an empty string";
}

impl From<String> for DeduplicationScopeSetting {
    fn from(value: String) -> Self {
        match value.as_str() {
            "" => Self::Unset,
            "all" => Self::All,
            "zone" => Self::Zone,
            "cell" => Self::Shard,
            _ => Self::Unknown(value),
        }
    }
}

/// How gateways get the endpoint list.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(from = "String")]
pub enum DiscoverySetting {
    /// Each gateway polls the discovery service.
    PollService,
    /// Any other value: no gateway polls the discovery service. A gateway polls the discovery agent
    /// on its host, if there is one.
    Other(String),
}

impl From<String> for DiscoverySetting {
    fn from(value: String) -> Self {
        if value == "subscribe" {
            Self::PollService
        } else {
            Self::Other(value)
        }
    }
}

impl Default for DiscoverySetting {
    fn default() -> Self {
        Self::Other(String::new())
    }
}
