//! The message about the outcome of an attempt.

use super::{NodeName, RequestName, StatusCode};
use serde::Deserialize;

/// Offset of the percentage in the usage report: 1 means 0%. A value below it means that there is
/// no report.
const USAGE_OFFSET: f64 = 1.0;

/// The percentage that corresponds to a fraction of 1.
const FULL_PERCENTAGE: f64 = 100.0;

/// The outcome of an attempt.
#[derive(Deserialize)]
pub struct AttemptOutcomeMessage {
    /// The request.
    #[serde(rename = "ref")]
    pub request: RequestName,
    /// Status code with which the attempt ended.
    pub status: StatusCode,
    /// Whether the request no longer needs a response, because the client has the final response.
    #[serde(default, rename = "complete")]
    pub response_not_needed: bool,
    /// The node that the attempt was dispatched to.
    #[serde(rename = "server")]
    pub node: NodeName,
    /// Duration of the attempt since its dispatch, in milliseconds.
    #[serde(default, rename = "time_taken_ms")]
    pub elapsed_ms: f64,
    /// Units that the node served for requests of the volume from other gateways since the node's
    /// previous response.
    #[serde(default, rename = "delta")]
    pub remote_units: f64,
    /// Number of the attempt. The first attempt of a request has number 0.
    #[serde(default, rename = "go")]
    pub attempt: u32,
    /// Usage report: 1 plus the percentage of its provisioned rate that the volume used. A value
    /// below 1 means that there is no report.
    #[serde(default, rename = "used")]
    pub usage: f64,
}

impl AttemptOutcomeMessage {
    /// Returns the fraction of its provisioned rate that the volume used; `None` if the message has
    /// no usage report.
    #[must_use]
    pub fn utilization(&self) -> Option<f64> {
        if self.usage >= USAGE_OFFSET {
            Some((self.usage - USAGE_OFFSET) / FULL_PERCENTAGE)
        } else {
            None
        }
    }
}
