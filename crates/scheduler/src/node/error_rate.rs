//! How often a node responds with an error.
//!
//! Inputs: served attempts and errors. Decided: whether the node should get new objects only if
//! there is no other (`placement`).

use crate::collections::MovingFraction;

/// Weight of a new response in the moving average.
const ERROR_GAIN: f64 = 0.1;
/// Fraction of errors above which the rate is high.
const HIGH_ERROR_RATE: f64 = 0.25;

/// Moving average of the fraction of responses that are errors.
#[derive(Default)]
pub struct ErrorRate {
    /// Fraction of the responses that are errors.
    errors: MovingFraction,
}

impl ErrorRate {
    /// Counts an error.
    pub fn record_error(&mut self) {
        self.errors.record_hit(ERROR_GAIN);
    }

    /// Counts an attempt that was served.
    pub fn record_served(&mut self) {
        self.errors.record_miss(ERROR_GAIN);
    }

    /// Whether a noticeable part of the responses are errors.
    pub fn is_high(&self) -> bool {
        self.errors.fraction() > HIGH_ERROR_RATE
    }
}
