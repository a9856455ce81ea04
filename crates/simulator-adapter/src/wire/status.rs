//! Status codes of attempts.

use io_scheduler::Outcome;
use serde::Deserialize;
use std::fmt;

/// A status code of an attempt. The type can hold codes that the adapter does not know.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(transparent)]
pub struct StatusCode(u32);

impl StatusCode {
    /// The node served the attempt.
    pub const OK: StatusCode = StatusCode(200);
    /// The attempt timed out.
    pub const TIMED_OUT: StatusCode = StatusCode(408);
    /// The gateway did not dispatch the attempt.
    pub const NOT_DISPATCHED: StatusCode = StatusCode(409);
    /// The node rejected the attempt because it lacked capacity.
    pub const OVERLOADED: StatusCode = StatusCode(429);
    /// The attempt was cancelled.
    pub const CANCELLED: StatusCode = StatusCode(444);
    /// The node responded with an error.
    pub const ERROR: StatusCode = StatusCode(502);
    /// The connection to the node was reset.
    pub const RESET: StatusCode = StatusCode(520);
    /// The connection to the node could not be established.
    pub const CONNECT_FAILED: StatusCode = StatusCode(521);

    /// Returns the outcome of an attempt with this status code; `None` if the code is unknown.
    #[must_use]
    pub fn outcome(self) -> Option<Outcome> {
        match self {
            Self::OK => Some(Outcome::Served),
            Self::TIMED_OUT => Some(Outcome::TimedOut),
            Self::NOT_DISPATCHED => Some(Outcome::NotDispatched),
            Self::OVERLOADED => Some(Outcome::Overloaded),
            Self::CANCELLED => Some(Outcome::Cancelled),
            Self::ERROR => Some(Outcome::Error),
            Self::RESET => Some(Outcome::Reset),
            Self::CONNECT_FAILED => Some(Outcome::ConnectFailed),
            _ => None,
        }
    }
}

impl fmt::Display for StatusCode {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}
