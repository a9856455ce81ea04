//! The phases of dmClock, in the order in which they are tried.

/// The phase in which a request is dispatched.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// Constraint-based: its reservation tag is due.
    Reservation,
    /// Weight-based: it has the smallest share tag of the flows within their limits.
    Weight,
    /// It can no longer meet its latency objective. An addition to dmClock's two phases.
    Late,
}
