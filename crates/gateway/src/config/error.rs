//! Errors of loading a configuration.
//!
//! Each error names the file, the key or the environment variable that it is about. The underlying
//! error, if there is one, is its source.

use std::io;
use std::path::{Path, PathBuf};

/// An error that prevents a configuration from being used.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    /// The file cannot be read.
    #[error("cannot read {}: {source}", file.display())]
    Unreadable {
        /// Path of the file.
        file: PathBuf,
        /// The operating system's error.
        source: io::Error,
    },
    /// The file is not valid JSON.
    #[error("{file}: invalid JSON: {source}")]
    Malformed {
        /// Path of the file, or the environment variable that names it.
        file: String,
        /// The JSON parser's error.
        source: simd_json::Error,
    },
    /// The JSON does not match the configuration's schema: a key is missing or unknown, or its
    /// value has the wrong type.
    #[error("{file}: {key}: cannot decode: {source}")]
    Undecodable {
        /// Path of the file, or the environment variable that names it.
        file: String,
        /// Path of the key within the file.
        key: String,
        /// The decoder's error.
        source: simd_json::Error,
    },
    /// A value in the operator's file is missing or invalid.
    #[error("{}: {source}", file.display())]
    InFile {
        /// Path of the file.
        file: PathBuf,
        /// The error about the value, which names the key.
        source: Box<ConfigError>,
    },
    /// A required value is not set. An empty list counts as not set, and so does a shard count
    /// of 0.
    #[error("{key}: not set; expected {expected}")]
    Missing {
        /// Path of the key, the alternative keys, or the name of the environment variable.
        key: String,
        /// Description of the value that is required.
        expected: &'static str,
    },
    /// The value of a key has the right type but is invalid.
    #[error("{key}: {source}")]
    InvalidValue {
        /// Path of the key, or the name of the environment variable.
        key: String,
        /// Why the value is invalid.
        source: InvalidValue,
    },
}

/// Why the value of a configuration key is invalid. The texts do not repeat the key, which
/// [`ConfigError::InvalidValue`] names.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum InvalidValue {
    /// The text is not an IP address followed by a port.
    #[error("invalid address '{0}'; expected an IP address and port, such as 127.0.0.1:6379")]
    NotAnAddress(String),
    /// The text is not the name of a log level.
    #[error("unknown log level '{0}'; expected off, error, warn, info, debug or trace")]
    UnknownLogLevel(String),
    /// The text is not a hexadecimal number that fits into 64 bits.
    #[error("invalid number '{0}'; expected a hexadecimal number of at most 64 bits")]
    NotHexadecimal(String),
    /// The value is not one of the fixed set that the key accepts.
    #[error("unknown value '{value}'; expected {expected}")]
    UnexpectedValue {
        /// The value in the configuration.
        value: String,
        /// The values that the key accepts.
        expected: &'static str,
    },
    /// The settings define no class with this name.
    #[error("unknown class '{0}'; expected the name of a class in settings.classes")]
    UnknownClass(String),
    /// A class of reads is configured where a class of writes is required, or the reverse.
    #[error(
        "settings.domain.writes is {} for class '{class}'; expected {expected_writes}",
        !expected_writes
    )]
    WrongAccess {
        /// Name of the class.
        class: String,
        /// The value of `settings.domain.writes` that the key requires of its class. An absent
        /// value counts as false.
        expected_writes: bool,
    },
    /// The settings define no plan with this name.
    #[error("unknown plan '{0}'; expected the name of a plan in settings.plans")]
    UnknownPlan(String),
    /// The name of a volume is not valid as the first component of a path.
    #[error("invalid volume name '{0}'; expected a name without '/' that does not start with '.'")]
    InvalidVolumeName(String),
    /// An earlier volume has the same name.
    #[error("duplicate volume name '{0}'; expected a different name for each volume")]
    DuplicateVolumeName(String),
    /// The deadline of a class is shorter than its latency objective.
    #[error(
        "invalid value {deadline_ms}; expected at least aim_ms, which is {latency_objective_ms}"
    )]
    DeadlineBelowObjective {
        /// The deadline in milliseconds.
        deadline_ms: String,
        /// The latency objective in milliseconds.
        latency_objective_ms: String,
    },
    /// The number is zero or negative.
    #[error("invalid value {0}; expected a number above 0")]
    NotPositive(String),
    /// The number is below its minimum.
    #[error("invalid value {value}; expected at least {min}")]
    BelowMinimum {
        /// The number in the configuration.
        value: usize,
        /// The minimum, inclusive.
        min: usize,
    },
    /// The number is above its maximum.
    #[error("invalid value {value}; expected at most {max}")]
    AboveMaximum {
        /// The number in the configuration.
        value: usize,
        /// The maximum, inclusive.
        max: usize,
    },
    /// The number is outside its range.
    #[error("invalid value {value}; expected a number from {min} to {max}")]
    OutOfRange {
        /// The number in the configuration.
        value: usize,
        /// The minimum, inclusive.
        min: usize,
        /// The maximum, inclusive.
        max: usize,
    },
}

impl ConfigError {
    /// Creates the error for a file that cannot be read.
    pub(super) fn unreadable(file: &Path, source: io::Error) -> ConfigError {
        ConfigError::Unreadable {
            file: file.to_owned(),
            source,
        }
    }

    /// Adds the path of the file to an error that names only a key. Other errors already name the
    /// file and are returned unchanged.
    pub(super) fn in_file(self, file: &Path) -> ConfigError {
        match self {
            ConfigError::Missing { .. } | ConfigError::InvalidValue { .. } => ConfigError::InFile {
                file: file.to_owned(),
                source: Box::new(self),
            },
            ConfigError::Unreadable { .. }
            | ConfigError::Malformed { .. }
            | ConfigError::Undecodable { .. }
            | ConfigError::InFile { .. } => self,
        }
    }

    /// Creates the error for a required value that is not set; `expected` describes the value.
    pub(super) fn missing(key: &str, expected: &'static str) -> ConfigError {
        ConfigError::Missing {
            key: key.to_owned(),
            expected,
        }
    }

    /// Creates the error for a key whose value is invalid.
    pub(super) fn invalid_value(key: &str, source: InvalidValue) -> ConfigError {
        ConfigError::InvalidValue {
            key: key.to_owned(),
            source,
        }
    }
}
