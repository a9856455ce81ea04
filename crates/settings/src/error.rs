//! The error of converting the settings to the scheduler's settings.

use thiserror::Error;

/// A setting that accepts a fixed set of values has another value.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("field {key}: unknown value '{value}'; expected {expected}")]
pub struct UnknownValue {
    /// Path of the key within the settings object, without list indices.
    pub key: &'static str,
    /// The value in the settings.
    pub value: String,
    /// The values that the key accepts.
    pub expected: &'static str,
}
