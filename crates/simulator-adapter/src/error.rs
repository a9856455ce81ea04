//! The errors that end the program.

use crate::wire::{EventError, ParseError};
use std::fmt;
use std::io;
use thiserror::Error;

/// Number of a line of standard input, from 1. Blank lines count.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LineNumber(usize);

impl LineNumber {
    /// The number of the line at an index, from 0.
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

/// An error that ends the program.
#[derive(Debug, Error)]
pub enum AdapterError {
    /// A line of standard input could not be answered.
    #[error("line {line}: {source}")]
    Line {
        /// The line.
        line: LineNumber,
        /// The cause.
        source: LineError,
    },
    /// A reply could not be encoded to standard output.
    #[error("cannot write: {0}")]
    Encode(#[source] serde_json::Error),
    /// Standard output failed.
    #[error("cannot write: {0}")]
    Write(#[source] io::Error),
}

/// Why a line could not be answered.
#[derive(Debug, Error)]
pub enum LineError {
    /// Standard input failed.
    #[error("cannot read: {0}")]
    Read(#[source] io::Error),
    /// The line is not a batch of events.
    #[error(transparent)]
    Parse(#[from] ParseError),
    /// The line contains an event that cannot be handled.
    #[error(transparent)]
    Event(#[from] EventError),
}
