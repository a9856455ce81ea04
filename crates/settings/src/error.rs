//! The error of converting the settings for the scheduler.

use thiserror::Error;

/// A setting whose value must be one of a fixed set of words has another one.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("field {key}: '{value}' is unknown")]
pub struct UnknownValue {
    /// Path of the key within the settings object, without list indices.
    pub key: &'static str,
    /// The word as the settings state it.
    pub value: String,
}
