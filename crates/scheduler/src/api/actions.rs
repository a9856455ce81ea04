//! Actions: what the scheduler asks its caller to do.

use super::{Micros, NodeId, RequestId};

/// An action that the caller has to carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Start an attempt.
    Dispatch {
        /// The request.
        request: RequestId,
        /// The node it goes to.
        node: NodeId,
        /// When the attempt times out; not after the deadline of the request.
        times_out_at: Micros,
    },
    /// Final response: rejected; the client may safely retry.
    Reject {
        /// The request.
        request: RequestId,
        /// Time in microseconds after which the client should retry (Retry-After); 0 for none
        /// given.
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
    /// Deliver [`Event::TimerFired`](super::Event::TimerFired) at this time or later.
    SetTimer(Micros),
}
