//! Errors of reading an inventory.
//!
//! Each error names the file, and the location in it if the error is about a part of the file.

use std::{fmt, io};

/// An error that prevents an inventory from being used.
#[derive(Debug, thiserror::Error)]
pub enum InventoryError {
    /// The file cannot be read.
    #[error("cannot read {file}: {source}")]
    Unreadable {
        /// Path of the file.
        file: String,
        /// The operating system's error.
        source: io::Error,
    },
    /// The extension of the file name is not that of a supported format.
    #[error(
        "{file}: unknown inventory format; expected a file name ending in .csv, .yml or .yaml"
    )]
    UnknownFormat {
        /// Path of the file.
        file: String,
    },
    /// A required column is missing from the header line of a CSV file.
    #[error("{file}: header line: required column '{heading}' is missing")]
    MissingHeading {
        /// Path of the file.
        file: String,
        /// Heading of the column.
        heading: &'static str,
    },
    /// The file is not well-formed CSV, or a field has the wrong type.
    #[error("{file}: {location}: {source}")]
    Csv {
        /// Path of the file.
        file: String,
        /// Location in the file.
        location: Location,
        /// The decoder's error.
        source: csv::Error,
    },
    /// The file is not well-formed YAML, or a value has the wrong type.
    #[error("{file}: {location}: {}", first_line(source))]
    Yaml {
        /// Path of the file.
        file: String,
        /// Location in the file.
        location: Location,
        /// The decoder's error; its text has several lines, of which only the first is shown.
        source: Box<serde_saphyr::Error>,
    },
    /// A group is nested too deeply.
    #[error("{file}: {group}: group is nested in more than {max_depth} other groups")]
    NestedTooDeeply {
        /// Path of the file.
        file: String,
        /// Path of the group.
        group: String,
        /// Maximum number of groups that may contain a group.
        max_depth: usize,
    },
    /// A var of a node is missing or invalid.
    #[error("{file}: {location}: {source}")]
    InvalidVar {
        /// Path of the file.
        file: String,
        /// Location in the file.
        location: Location,
        /// Why the var is invalid.
        source: InvalidVar,
    },
}

/// Why a var of a node is invalid. The texts do not repeat the var, which
/// [`InventoryError::InvalidVar`] names in its location.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum InvalidVar {
    /// The var is required, but it is absent or empty.
    #[error("required, but not set")]
    NotSet,
    /// The text is not an IP address followed by a port.
    #[error("invalid address '{0}'; expected an IP address and port, such as 127.0.0.1:6379")]
    NotAnAddress(String),
    /// The text is not the name of a status.
    #[error("unknown status '{0}'; expected in_service, terminating or terminated")]
    UnknownStatus(String),
    /// The text is not the name of a protocol.
    #[error("unknown protocol '{0}'; expected resp2 or sftp")]
    UnknownProtocol(String),
    /// An earlier node has the same name.
    #[error("duplicate node name '{0}'; expected a different name for each node")]
    DuplicateName(String),
}

/// A location in an inventory.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Location {
    /// The file as a whole.
    Document,
    /// A line.
    Line(u64),
    /// A field of a line in a CSV file.
    Field {
        /// Number of the line.
        line: u64,
        /// Heading of the field.
        field: String,
    },
    /// The path of a key in a YAML file, with dots between its components.
    Key(String),
}

impl fmt::Display for Location {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Location::Document => formatter.write_str("document"),
            Location::Line(line) => write!(formatter, "line {line}"),
            Location::Field { line, field } => write!(formatter, "line {line}, {field}"),
            Location::Key(path) => formatter.write_str(path),
        }
    }
}

/// Returns the first line of the text of an error.
fn first_line(error: &serde_saphyr::Error) -> String {
    error
        .to_string()
        .lines()
        .next()
        .unwrap_or_default()
        .to_owned()
}
