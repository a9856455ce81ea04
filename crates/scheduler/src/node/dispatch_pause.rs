//! Pauses dispatches to a node.
//!
//! A node is paused for a short time after it responded that it is overloaded, and between the
//! trial attempts while it is ejected (`outlier_ejection`). Times are in microseconds.

use crate::api::Micros;

/// Pause after a node responded that it is overloaded, in microseconds.
const OVERLOAD_PAUSE: Micros = 20_000;

/// Pause of one node.
#[derive(Default)]
pub struct DispatchPause {
    /// End of the pause, in microseconds; in the past if the node is not paused.
    until: Micros,
}

impl DispatchPause {
    /// Pauses the node after it responded that it is overloaded. A longer pause that is already
    /// active remains.
    pub fn start_after_overload(&mut self, now: Micros) {
        self.until = self.until.max(now + OVERLOAD_PAUSE);
    }

    /// Pauses an ejected node until its next trial attempt.
    pub fn start_between_trials(&mut self, interval: Micros, now: Micros) {
        self.until = now + interval;
    }

    /// Ends the pause.
    pub fn end(&mut self, now: Micros) {
        self.until = now;
    }

    /// Returns whether the node is paused.
    pub fn is_active(&self, now: Micros) -> bool {
        self.until > now
    }

    /// Returns the end of the pause, which is in the past if the node is not paused.
    pub fn until(&self) -> Micros {
        self.until
    }
}
