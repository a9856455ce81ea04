//! What the scheduler tells its caller to do.

use super::{Micros, NodeId, RequestId};

/// What the caller has to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Start an attempt.
    Dispatch {
        /// The request.
        request: RequestId,
        /// The node it goes to.
        node: NodeId,
        /// When the attempt is given up.
        deadline: Micros,
    },
    /// Final response: rejected; the client may try again without harm.
    Reject {
        /// The request.
        request: RequestId,
        /// Time in microseconds for which the client should wait before it tries again; 0 for no advice.
        retry_after: Micros,
    },
    /// Final response: failed; the request may have been executed.
    Fail(RequestId),
    /// Cancel an attempt in flight.
    Cancel {
        /// The request.
        request: RequestId,
        /// Number among the attempts of the request, from 0.
        attempt: u32,
    },
    /// Open a watch of the endpoint list.
    OpenWatch,
    /// Send a health check to a node.
    HealthCheck(NodeId),
    /// Hand in [`Event::TimerFired`](super::Event::TimerFired) at this time or after.
    SetTimer(Micros),
}
