//! The attempts of a request at nodes: their ids and their results.

use super::response::ResponseBody;
use io_scheduler::{Outcome, RequestId, Units};

/// One attempt of a request at a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptId {
    /// The request.
    pub request: RequestId,
    /// Number of the attempt within its request, from 0.
    pub number: u32,
}

/// How an attempt at a node ended.
#[derive(Clone, Debug)]
pub struct AttemptResult {
    /// The outcome that is reported to the scheduler.
    pub outcome: Outcome,
    /// The node's result, if the node has served the request.
    pub body: Option<ResponseBody>,
    /// Service that the volume got from the node through other gateways since the node's last
    /// response to this gateway; zero if not reported.
    pub remote_units: Units,
    /// Part of the volume's provisioned rate that was served in the last report period, over all
    /// gateways and nodes; `None` if not reported.
    pub utilization: Option<f64>,
}

impl AttemptResult {
    /// A result with no body and no usage report.
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
