//! The phases of request selection, in the order in which they are tried.

/// The phase in which a request is dispatched.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// Constraint-based phase: the reservation tag of the request is due.
    Reservation,
    /// Weight-based phase: the request has the smallest share tag among the flows within their
    /// limits.
    Weight,
    /// The request can no longer meet its latency objective. dmClock itself has only the two phases
    /// above.
    Late,
}
