//! The errors that end the program.

use crate::wire::{ParseError, StatusCode};
use deployment_settings::UnknownValue;
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

/// An event that is well-formed but cannot be handled.
#[derive(Debug, Error)]
pub enum EventError {
    /// The instance has not been started.
    #[error("dispatcher_id {instance}: event before ENLIST")]
    NotStarted {
        /// Id of the instance.
        instance: u64,
    },
    /// The settings of an instance have a value that is not known.
    #[error("ENLIST: {0}")]
    Settings(#[from] UnknownValue),
    /// A request refers to a plan or a class that the settings do not have.
    #[error("INCOMING {request}: field {field}: '{name}' is not in the settings")]
    UnknownName {
        /// Name of the request.
        request: String,
        /// Field of the message.
        field: &'static str,
        /// The unknown name.
        name: String,
    },
    /// The status of an attempt is not one of the simulator's.
    #[error("OUTCOME {request}: field status: {status} is not an outcome")]
    UnknownStatus {
        /// Name of the request.
        request: String,
        /// The unknown status.
        status: StatusCode,
    },
}
