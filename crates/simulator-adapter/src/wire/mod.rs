//! The simulator's messages. Fields and variants have standard names; `serde(rename)` states their spelling on
//! the wire.

mod actions;
mod events;
mod status;

pub use actions::{ActionBatch, ActionMessage, InstanceActions};
pub use events::{
    AttemptOutcomeMessage, EndpointCondition, EndpointListKind, EndpointRow, EventBatch,
    EventMessage, IncomingRequest, InstanceEvents,
};
pub use status::StatusCode;

use thiserror::Error;

/// Why a line of input is not a valid batch of events.
#[derive(Debug, Error)]
pub enum ParseError {
    /// The line is not JSON, or a field is missing or of the wrong type.
    #[error("field {path}: {source}")]
    Field {
        /// Path of the field within the batch.
        path: String,
        /// The cause.
        source: serde_json::Error,
    },
    /// Something follows the batch.
    #[error("after the batch: {0}")]
    TrailingData(#[source] serde_json::Error),
}

/// Parses one line of input.
///
/// # Errors
///
/// If the line is not exactly one batch.
pub fn parse(line: &[u8]) -> Result<EventBatch, ParseError> {
    let mut json = serde_json::Deserializer::from_slice(line);
    let batch = serde_path_to_error::deserialize(&mut json).map_err(|error| ParseError::Field {
        path: error.path().to_string(),
        source: error.into_inner(),
    })?;
    json.end().map_err(ParseError::TrailingData)?;
    Ok(batch)
}
