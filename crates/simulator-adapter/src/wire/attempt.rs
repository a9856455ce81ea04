//! The end of an attempt as the simulator sends it.

use super::{NodeName, RequestName, StatusCode};
use serde::Deserialize;

/// Value of the usage report for a use of 0%; smaller values stand for no report.
const USAGE_OF_ZERO_PERCENT: f64 = 1.0;

/// Percent in the whole.
const PERCENT: f64 = 100.0;

/// The end of an attempt.
#[derive(Deserialize)]
pub struct AttemptOutcomeMessage {
    /// The request.
    #[serde(rename = "ref")]
    pub request: RequestName,
    /// How the attempt ended.
    pub status: StatusCode,
    /// Whether the request has its final response.
    #[serde(default, rename = "complete")]
    pub request_closed: bool,
    /// The node that it went to.
    #[serde(rename = "server")]
    pub node: NodeName,
    /// Duration since the dispatch, in milliseconds.
    #[serde(default, rename = "time_taken_ms")]
    pub elapsed_ms: f64,
    /// Units that the node served for the volume through other gateways since its last response.
    #[serde(default, rename = "delta")]
    pub remote_units: f64,
    /// Number among the attempts of the request, from 0.
    #[serde(default, rename = "go")]
    pub attempt: u32,
    /// Usage report: 1 plus the percentage of the provisioned rate that the volume used; below 1
    /// for none.
    #[serde(default, rename = "used")]
    pub usage: f64,
}

impl AttemptOutcomeMessage {
    /// Fraction of the provisioned rate that the volume used, if the message reports it.
    #[must_use]
    pub fn utilization(&self) -> Option<f64> {
        if self.usage >= USAGE_OF_ZERO_PERCENT {
            Some((self.usage - USAGE_OF_ZERO_PERCENT) / PERCENT)
        } else {
            None
        }
    }
}
