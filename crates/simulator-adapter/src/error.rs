//! The errors that end the program.

use crate::wire::{EventError, ParseError};
use std::io;
use thiserror::Error;

/// An error that ends the program. Lines are numbered from 1.
#[derive(Debug, Error)]
pub enum AdapterError {
    /// Standard input failed.
    #[error("line {line}: cannot read: {source}")]
    Read {
        /// Number of the line.
        line: usize,
        /// The cause.
        source: io::Error,
    },
    /// A line is not a batch of events.
    #[error("line {line}: {source}")]
    Parse {
        /// Number of the line.
        line: usize,
        /// The cause.
        source: ParseError,
    },
    /// A line contains an event that cannot be handled.
    #[error("line {line}: {source}")]
    Event {
        /// Number of the line.
        line: usize,
        /// The cause.
        source: EventError,
    },
    /// A reply could not be encoded to standard output.
    #[error("cannot write: {0}")]
    Encode(#[source] serde_json::Error),
    /// Standard output failed.
    #[error("cannot write: {0}")]
    Write(#[source] io::Error),
}
