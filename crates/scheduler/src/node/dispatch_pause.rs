//! Until when nothing is dispatched to a node.
//!
//! A node pauses for a moment after it responded that it is overloaded, and between the trial
//! attempts of its ejection (`outlier_ejection`). Times are in microseconds.

use crate::api::Micros;

/// Pause after a node responded that it is overloaded, in microseconds.
const OVERLOAD_PAUSE: Micros = 20_000;

/// The end of a node's pause; in the past if there is none.
#[derive(Default)]
pub struct DispatchPause {
    /// The end of the pause, in microseconds.
    until: Micros,
}

impl DispatchPause {
    /// Pauses the node after it responded that it is overloaded; a longer pause stays.
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

    /// Whether the node pauses.
    pub fn is_active(&self, now: Micros) -> bool {
        self.until > now
    }

    /// The end of the pause.
    pub fn until(&self) -> Micros {
        self.until
    }
}
