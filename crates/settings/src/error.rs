//! The error of converting the settings for the scheduler.

use thiserror::Error;

/// A setting with a fixed set of values has a value outside this set.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("field {key}: '{value}' is unknown")]
pub struct UnknownValue {
    /// Path of the key within the settings object, without list indices.
    pub key: &'static str,
    /// The value as the settings state it.
    pub value: String,
}
