//! Errors of reading an inventory. Each names the file and the location in it.

use std::{fmt, io};

/// Why an inventory cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum InventoryError {
    /// The file cannot be read.
    #[error("{file}: cannot be read: {source}")]
    Unreadable {
        /// Path of the file.
        file: String,
        /// The operating system's error.
        source: io::Error,
    },
    /// The extension of the file's name states no known format.
    #[error("{file}: name: ends in none of .csv, .yml, .yaml")]
    UnknownFormat {
        /// Path of the file.
        file: String,
    },
    /// The first line of a CSV file lacks a heading.
    #[error("{file}: line 1: heading {heading} is missing")]
    MissingHeading {
        /// Path of the file.
        file: String,
        /// The heading.
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
    /// Groups are nested more deeply than is allowed.
    #[error("{file}: {group}: groups stand too deep in one another")]
    NestedTooDeeply {
        /// Path of the file.
        file: String,
        /// Path of the group that is too deep.
        group: String,
    },
    /// A var of a node is missing or cannot be used.
    #[error("{file}: {location}: {source}")]
    InvalidVar {
        /// Path of the file.
        file: String,
        /// Location in the file.
        location: Location,
        /// What is wrong with the var.
        source: InvalidVar,
    },
}

/// What is wrong with a var of a node.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum InvalidVar {
    /// The var is required.
    #[error("not set")]
    NotSet,
    /// The text is not an IP address with a port.
    #[error("'{0}' is no address with a port")]
    NotAnAddress(String),
    /// The text is not the name of a status.
    #[error("'{0}' is none of in_service, terminating, terminated")]
    UnknownStatus(String),
    /// The text is not the name of a protocol.
    #[error("'{0}' is neither resp2 nor sftp")]
    UnknownProtocol(String),
    /// An earlier node has this name.
    #[error("'{0}' stands twice")]
    Duplicate(String),
}

/// A location in an inventory.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Location {
    /// The file as a whole.
    Document,
    /// A line.
    Line(u64),
    /// A field of a line.
    Field {
        /// Number of the line.
        line: u64,
        /// Heading of the field.
        field: String,
    },
    /// The path of a key, its parts separated by dots.
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

/// The first line of an error's text.
fn first_line(error: &serde_saphyr::Error) -> String {
    error
        .to_string()
        .lines()
        .next()
        .unwrap_or_default()
        .to_owned()
}
