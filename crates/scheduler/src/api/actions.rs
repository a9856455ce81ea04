//! Actions that the scheduler returns to its caller.

use super::{Micros, NodeId, RequestId};

/// An action that the caller has to carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Start an attempt.
    Dispatch {
        /// The request.
        request: RequestId,
        /// Node that the attempt is sent to.
        node: NodeId,
        /// Time at which the attempt times out; never later than the deadline of the request.
        times_out_at: Micros,
        /// Time before which the request has to be written to the node; `None` if there is no such
        /// time. A node that gets it later may execute it a second time.
        write_before: Option<Micros>,
    },
    /// Reject the request: send the client its final response. The client may safely retry.
    Reject {
        /// The request.
        request: RequestId,
        /// Time in microseconds after which the client should retry (Retry-After); 0 if none is
        /// given.
        retry_after: Micros,
    },
    /// Fail the request: send the client its final response. The request may have been executed.
    Fail(RequestId),
    /// Cancel an attempt in flight.
    Cancel {
        /// The request.
        request: RequestId,
        /// Number of the attempt within the request, from 0.
        attempt: u32,
    },
    /// Accept clients from now on. Returned once after [`EndpointListEvent::Unconfirmed`].
    ///
    /// [`EndpointListEvent::Unconfirmed`]: super::EndpointListEvent::Unconfirmed
    AcceptClients,
    /// Close all connections of clients after their last response, because the host is killed soon:
    /// requests that arrive from now on are rejected. Returned at most once.
    CloseClients,
    /// Open a watch on the endpoint list.
    OpenWatch,
    /// Deliver [`Event::TimerFired`](super::Event::TimerFired) at or after this time.
    SetTimer(Micros),
}
