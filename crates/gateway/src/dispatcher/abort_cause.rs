//! Why an attempt without a result is aborted, and which outcome is reported to the scheduler.

use io_scheduler::Outcome;

/// Why an attempt is aborted before it has a result.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AbortCause {
    /// No connection to the node could be opened because of a shortage on this host, such as of
    /// descriptors. It tells nothing of the node.
    LocalShortage,
    /// No connection to the node could be opened, or it was not established in time.
    NoConnection,
    /// The node went out of service, and its write deadline passed before the gateway started to
    /// write the request. See [`Dispatcher::may_write`](super::Dispatcher::may_write).
    WriteDeadlinePassed,
    /// The time before which the request had to be written has passed: nodes may no longer
    /// recognize it as a duplicate of an earlier attempt. It tells nothing of the node.
    DeduplicationWindowPassed,
    /// The connection was closed or reset before the response was complete.
    ConnectionLost,
    /// The node sent an invalid response, or one that exceeds the memory budget.
    InvalidResponse,
    /// The attempt has timed out.
    TimedOut,
    /// The scheduler cancelled the attempt, or the client disconnected.
    Cancelled,
}

impl AbortCause {
    /// Returns the outcome to report to the scheduler.
    ///
    /// If the node cannot have executed the request, a cancellation, a shortage on this host or a
    /// window that has passed is reported as [`Outcome::NotDispatched`], because it is no fault of
    /// the node, and every other cause as [`Outcome::ConnectFailed`].
    pub(super) fn outcome(self, may_have_executed: bool) -> Outcome {
        match self {
            AbortCause::LocalShortage | AbortCause::DeduplicationWindowPassed => {
                Outcome::NotDispatched
            }
            AbortCause::Cancelled if !may_have_executed => Outcome::NotDispatched,
            _ if !may_have_executed => Outcome::ConnectFailed,
            AbortCause::NoConnection | AbortCause::WriteDeadlinePassed => Outcome::ConnectFailed,
            AbortCause::ConnectionLost => Outcome::Reset,
            AbortCause::InvalidResponse => Outcome::Error,
            AbortCause::TimedOut => Outcome::TimedOut,
            AbortCause::Cancelled => Outcome::Cancelled,
        }
    }
}
