//! Errors that terminate the adapter.

use crate::wire::{EventError, ParseError};
use std::fmt;
use std::io;
use thiserror::Error;

/// Number of a line of standard input. The first line has number 1, and blank lines count.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LineNumber(usize);

impl LineNumber {
    /// Returns the number of the line with this index. The first line has index 0.
    #[must_use]
    pub fn of_index(index: usize) -> Self {
        LineNumber(index + 1)
    }
}

impl fmt::Display for LineNumber {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// An error that terminates the adapter.
#[derive(Debug, Error)]
pub enum AdapterError {
    /// A line of standard input cannot be read or handled.
    #[error("line {line}: {source}")]
    Line {
        /// Number of the line.
        line: LineNumber,
        /// Why the line cannot be read or handled.
        source: LineError,
    },
    /// The JSON of a reply cannot be encoded, or cannot be written to standard output.
    #[error("cannot encode the reply or write it to standard output: {0}")]
    Encode(#[source] serde_json::Error),
    /// The line break after a reply cannot be written, or standard output cannot be flushed.
    #[error("cannot write the reply to standard output: {0}")]
    Write(#[source] io::Error),
}

/// Why a line cannot be read or handled.
#[derive(Debug, Error)]
pub enum LineError {
    /// Standard input cannot be read.
    #[error("cannot read standard input: {0}")]
    Read(#[source] io::Error),
    /// The line is not a valid batch of events.
    #[error(transparent)]
    Parse(#[from] ParseError),
    /// The line contains an event that cannot be handled.
    #[error(transparent)]
    Event(#[from] EventError),
}
