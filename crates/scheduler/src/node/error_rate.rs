//! Tracks how often a node responds with an error.
//!
//! Served attempts and errors are counted. A node with a high error rate receives new objects only
//! if there is no other node (`placement`).

use crate::collections::MovingAverageFraction;

/// Weight of a new response in the moving average.
const ERROR_GAIN: f64 = 0.1;
/// The error rate is high if more than this fraction of the responses are errors.
const HIGH_ERROR_RATE: f64 = 0.25;

/// Error rate of one node.
#[derive(Default)]
pub struct ErrorRate {
    /// Moving average of the fraction of responses that are errors.
    errors: MovingAverageFraction,
}

impl ErrorRate {
    /// Records a response that is an error.
    pub fn record_error(&mut self) {
        self.errors.record_occurrence(ERROR_GAIN);
    }

    /// Records an attempt that was served.
    pub fn record_served(&mut self) {
        self.errors.record_non_occurrence(ERROR_GAIN);
    }

    /// Returns whether the error rate is above [`HIGH_ERROR_RATE`].
    pub fn is_high(&self) -> bool {
        self.errors.fraction() > HIGH_ERROR_RATE
    }
}
