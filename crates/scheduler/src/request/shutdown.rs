//! When requests must have their final response while the host shuts down.
//!
//! The supervisor kills the process a stated time after it has asked it to shut down. A request
//! that is still open then would get no response at all, whatever its own deadline. All requests
//! therefore get their final response by an answer deadline shortly before the kill. Times are in
//! microseconds.

use crate::api::Micros;

/// The kill comes this long after the longest deadline, counted from the request to shut down.
const KILL_DELAY: Micros = 700_000;
/// A longest deadline above this counts as this.
const MAX_COUNTED_DEADLINE: Micros = 3_000_000;
/// The answer deadline is this long before the kill: the host may be held up for 150 ms before it
/// handles the request to shut down and again before it writes the responses, and needs some time
/// to write them.
const ANSWER_MARGIN: Micros = 400_000;

/// The answer deadline of a shutdown.
#[derive(Default)]
pub struct ShutdownDeadline {
    /// The answer deadline; `None` until a shutdown is requested.
    answer_by: Option<Micros>,
    /// Whether the answer deadline has been reported as passed.
    is_reported: bool,
}

impl ShutdownDeadline {
    /// Records that a shutdown was requested, and returns the answer deadline. Only the first
    /// request counts. `longest_timeout` is the longest time that clients wait for a response.
    pub fn request(&mut self, longest_timeout: Micros, now: Micros) -> Micros {
        let kill_after = longest_timeout.min(MAX_COUNTED_DEADLINE) + KILL_DELAY;
        *self
            .answer_by
            .get_or_insert(now + kill_after - ANSWER_MARGIN)
    }

    /// Returns the deadline of a request, which is at the latest the answer deadline.
    pub fn limit(&self, deadline: Micros) -> Micros {
        self.answer_by
            .map_or(deadline, |answer_by| answer_by.min(deadline))
    }

    /// Returns true once, when the answer deadline has passed.
    pub fn take_passed(&mut self, now: Micros) -> bool {
        let has_passed = self.answer_by.is_some_and(|answer_by| answer_by <= now);
        has_passed && !std::mem::replace(&mut self.is_reported, true)
    }

    /// Returns when the scheduler has to be called for the answer deadline.
    pub fn next_check_at(&self) -> Option<Micros> {
        if self.is_reported {
            None
        } else {
            self.answer_by
        }
    }
}
