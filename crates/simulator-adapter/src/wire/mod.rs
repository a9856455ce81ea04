//! The messages that the simulator and the adapter exchange.
//!
//! Only this module contains the names that are used on the wire. `serde(rename)` states the name
//! on the wire where it differs from the name of the field or variant. Special values of numbers,
//! such as a negative shard for a new object, are also interpreted here.
//!
//! serde's error messages contain the names of these types and variants, and how many fields they
//! have. Changing one of these changes what the adapter prints on an invalid line.

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

/// Parses a line of input as a batch of events.
///
/// # Errors
///
/// Returns an error if the line is not a valid batch, or if anything follows the batch.
pub fn parse(line: &[u8]) -> Result<EventBatch, ParseError> {
    let mut json = serde_json::Deserializer::from_slice(line);
    let batch = serde_path_to_error::deserialize(&mut json).map_err(|error| ParseError::Field {
        path: error.path().to_string(),
        source: error.into_inner(),
    })?;
    json.end().map_err(ParseError::TrailingData)?;
    Ok(batch)
}
