//! Errors of loading a configuration. Each names the file or the key at fault and has its cause as
//! the source.

use std::io;
use std::path::{Path, PathBuf};

/// Why a configuration cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    /// The file cannot be read.
    #[error("{}: {source}", file.display())]
    Unreadable {
        /// Path of the file.
        file: PathBuf,
        /// The operating system's error.
        source: io::Error,
    },
    /// The file is not JSON.
    #[error("{file}: {source}")]
    Malformed {
        /// The file, or the environment variable that names it.
        file: String,
        /// The JSON parser's error.
        source: simd_json::Error,
    },
    /// A key of the file is absent, is unknown or has a value of the wrong type.
    #[error("{file}: {key}: {source}")]
    Undecodable {
        /// The file, or the environment variable that names it.
        file: String,
        /// Path of the key inside the file.
        key: String,
        /// The decoder's error.
        source: simd_json::Error,
    },
    /// A value in the operator's file is missing or cannot be used.
    #[error("{}: {source}", file.display())]
    InFile {
        /// Path of the file.
        file: PathBuf,
        /// What is wrong, with the key.
        source: Box<ConfigError>,
    },
    /// A required key is not set.
    #[error("{key}: not set")]
    Missing {
        /// Path of the key, or the name of the environment variable.
        key: String,
    },
    /// The value of a key is well formed but cannot be used.
    #[error("{key}: {source}")]
    InvalidValue {
        /// Path of the key, or the name of the environment variable.
        key: String,
        /// What is wrong with the value.
        source: InvalidValue,
    },
}

/// What is wrong with a single value of a configuration.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum InvalidValue {
    /// The text is not an IP address with a port.
    #[error("'{0}' is no address with a port")]
    NotAnAddress(String),
    /// The text is not a log level.
    #[error("'{0}' is none of off, error, warn, info, debug, trace")]
    UnknownLogLevel(String),
    /// The text is not a hexadecimal number.
    #[error("'{0}' is not hex")]
    NotHexadecimal(String),
    /// The value is not one of those that the key allows.
    #[error("'{0}' is unknown")]
    UnknownWord(String),
    /// The settings define no class with this name.
    #[error("class '{0}' is not in settings.classes")]
    UnknownClass(String),
    /// The class reads where a class that writes is required, or the reverse.
    #[error("class '{0}' is on the wrong side of settings.domain.writes")]
    WrongAccess(String),
    /// The settings define no plan with this name.
    #[error("'{0}' is not in settings.plans")]
    UnknownPlan(String),
    /// The text is not valid as the first part of a path.
    #[error("'{0}' is no name of a folder")]
    NotAFolderName(String),
    /// An earlier entry has the same name.
    #[error("'{0}' stands twice")]
    Duplicate(String),
    /// The deadline of a class is shorter than its latency objective.
    #[error("must be at least aim_ms")]
    DeadlineBelowObjective,
    /// The number is zero or negative.
    #[error("must be above 0")]
    NotPositive,
    /// The number is below its minimum.
    #[error("must be at least {min}")]
    BelowMinimum {
        /// Smallest value allowed.
        min: usize,
    },
    /// The number is above its maximum.
    #[error("must be at most {max}")]
    AboveMaximum {
        /// Largest value allowed.
        max: usize,
    },
    /// The number is outside its range.
    #[error("must be from {min} to {max}")]
    OutOfRange {
        /// Smallest value allowed.
        min: usize,
        /// Largest value allowed.
        max: usize,
    },
}

impl ConfigError {
    /// A file that cannot be read.
    pub(super) fn unreadable(file: &Path, source: io::Error) -> ConfigError {
        ConfigError::Unreadable {
            file: file.to_owned(),
            source,
        }
    }

    /// This error with the name of the file that states the key, if it does not name it yet.
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

    /// A required key that is not set.
    pub(super) fn missing(key: &str) -> ConfigError {
        ConfigError::Missing {
            key: key.to_owned(),
        }
    }

    /// A key whose value cannot be used.
    pub(super) fn invalid_value(key: &str, source: InvalidValue) -> ConfigError {
        ConfigError::InvalidValue {
            key: key.to_owned(),
            source,
        }
    }
}
