//! The simulator's messages.
//!
//! The names on the wire stand only in this module: fields and variants bear the project's terms,
//! and `serde(rename)` states their spelling on the wire. Numbers that stand for something else,
//! such as a negative shard for a new object, are interpreted here as well.
//!
//! serde's error texts contain the names of these types and variants and their number of fields.
//! They are output of the program, which a rename here changes.

mod actions;
mod attempt;
mod endpoint_list;
mod error;
mod events;
mod ids;
mod request;
mod status;

pub use actions::{ActionBatch, ActionMessage, InstanceActions};
pub use attempt::AttemptOutcomeMessage;
pub use endpoint_list::{EndpointListKind, EndpointRow};
pub use error::{EventError, ParseError};
pub use events::{EventBatch, EventMessage, InstanceEvents};
pub use ids::{
    BatchNumber, ClassName, InstanceId, NodeName, PlanName, RequestName, TimerName, ZoneName,
};
pub use request::IncomingRequest;
pub use status::StatusCode;

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
