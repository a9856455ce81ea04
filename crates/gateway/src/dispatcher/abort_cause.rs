//! Why an attempt without a result is aborted, and the outcome that the scheduler gets for it.

use io_scheduler::Outcome;

/// Why an attempt that has no result is aborted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AbortCause {
    /// No connection to the node could be opened, or none was established in time.
    NoConnection,
    /// The drain guard does not allow the request to be written to its node any more.
    DrainGuard,
    /// The connection was closed or reset before the response was complete.
    ConnectionLost,
    /// The node sent an invalid response, or one that the gateway has no memory for.
    InvalidResponse,
    /// The attempt has timed out.
    TimedOut,
    /// The scheduler has cancelled the attempt, or its client has disconnected.
    Cancelled,
}

impl AbortCause {
    /// The outcome that is reported to the scheduler.
    ///
    /// If the node cannot have executed the request, the cancellation of its attempt says nothing
    /// about the node, and every other cause counts as a failure to connect to the node.
    pub(super) fn outcome(self, may_have_executed: bool) -> Outcome {
        match self {
            AbortCause::Cancelled if !may_have_executed => Outcome::NotDispatched,
            _ if !may_have_executed => Outcome::ConnectFailed,
            AbortCause::NoConnection | AbortCause::DrainGuard => Outcome::ConnectFailed,
            AbortCause::ConnectionLost => Outcome::Reset,
            AbortCause::InvalidResponse => Outcome::Error,
            AbortCause::TimedOut => Outcome::TimedOut,
            AbortCause::Cancelled => Outcome::Cancelled,
        }
    }
}
