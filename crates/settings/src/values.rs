//! Settings whose value is one of a fixed set of words.
//!
//! Only this module knows the words. One that it doesn't know is decoded as well, into a variant
//! that holds it, and [`DeploymentSettings::to_scheduler_settings`] decides whether that is an
//! error. So a misspelled word is reported with its key, and not as a syntax error.
//!
//! [`DeploymentSettings::to_scheduler_settings`]: crate::DeploymentSettings::to_scheduler_settings

use serde::Deserialize;

/// Whether a request may run twice.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(from = "String")]
pub enum IdempotencySetting {
    /// It may: running it again has no further effect.
    Idempotent,
    /// It may where nodes recognize its idempotency key and drop the duplicate.
    WithKey,
    /// It may not: it would take effect twice.
    NonIdempotent,
    /// Any other word.
    Unknown(String),
}

impl IdempotencySetting {
    /// Path of the key within the settings object, without list indices.
    pub const KEY: &str = "classes.effect";
}

impl From<String> for IdempotencySetting {
    fn from(word: String) -> Self {
        match word.as_str() {
            "pure" => Self::Idempotent,
            "token" => Self::WithKey,
            "side_effect" => Self::NonIdempotent,
            _ => Self::Unknown(word),
        }
    }
}

/// A class has to state its idempotency: there is no value that is safe to assume.
impl Default for IdempotencySetting {
    fn default() -> Self {
        Self::Unknown(String::new())
    }
}

/// Which nodes share their record of idempotency keys, so that each recognizes a key that another
/// has received.
#[derive(Clone, Debug, Default, Deserialize, PartialEq)]
#[serde(from = "String")]
pub enum DeduplicationScopeSetting {
    /// The key is absent or empty, which means the same as [`All`](Self::All).
    #[default]
    Unstated,
    /// All nodes.
    All,
    /// The nodes of one zone.
    Zone,
    /// The nodes of one shard.
    Shard,
    /// Any other word.
    Unknown(String),
}

impl DeduplicationScopeSetting {
    /// Path of the key within the settings object, without list indices.
    pub const KEY: &str = "classes.group";
}

impl From<String> for DeduplicationScopeSetting {
    fn from(word: String) -> Self {
        match word.as_str() {
            "" => Self::Unstated,
            "all" => Self::All,
            "zone" => Self::Zone,
            "cell" => Self::Shard,
            _ => Self::Unknown(word),
        }
    }
}

/// How gateways learn the endpoint list.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(from = "String")]
pub enum DiscoverySetting {
    /// Each gateway polls the discovery service.
    PollService,
    /// Any other word: no gateway polls the discovery service.
    Other(String),
}

impl From<String> for DiscoverySetting {
    fn from(word: String) -> Self {
        if word == "subscribe" {
            Self::PollService
        } else {
            Self::Other(word)
        }
    }
}

impl Default for DiscoverySetting {
    fn default() -> Self {
        Self::Other(String::new())
    }
}
