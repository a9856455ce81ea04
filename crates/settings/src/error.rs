//! The error of a conversion.

use thiserror::Error;

/// A setting has a value that this program does not know.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("field {key}: '{value}' is unknown")]
pub struct UnknownValue {
    /// Path of the key within the settings, without indices.
    pub key: &'static str,
    /// The value found there.
    pub value: String,
}
