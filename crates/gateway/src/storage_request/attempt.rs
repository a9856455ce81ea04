//! Ids and results of the attempts of a request.

use super::response::ResponseBody;
use io_scheduler::{Micros, Outcome, RequestId, Units};

/// Identifies an attempt of a request at a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptId {
    /// The request.
    pub request: RequestId,
    /// Number of the attempt within its request, from 0.
    pub number: u32,
}

/// The times that limit an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AttemptLimits {
    /// When the attempt times out.
    pub times_out_at: Micros,
    /// Time before which the request has to be written to the node; `None` if there is no such
    /// time.
    pub write_before: Option<Micros>,
}

/// How an attempt at a node ended.
#[derive(Clone, Debug)]
pub struct AttemptResult {
    /// The outcome that is reported to the scheduler.
    pub outcome: Outcome,
    /// The result that the node returned, if it served the request.
    pub body: Option<ResponseBody>,
    /// Units that the node served for the volume through other gateways since its last response to
    /// this gateway; zero if the node does not report them.
    pub remote_units: Units,
    /// Fraction of the volume's provisioned rate that was served in the last report period, across
    /// all gateways and nodes; `None` if the node does not report it.
    pub utilization: Option<f64>,
}

impl AttemptResult {
    /// Creates a result with no body and no usage report.
    #[must_use]
    pub fn without_body(outcome: Outcome) -> AttemptResult {
        AttemptResult {
            outcome,
            body: None,
            remote_units: Units::ZERO,
            utilization: None,
        }
    }
}
