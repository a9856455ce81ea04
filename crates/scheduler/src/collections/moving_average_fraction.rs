//! Moving average of how often an attempt has a certain outcome, such as a lost response.

/// Exponentially weighted moving average of how often an outcome occurs, from 0 to 1.
#[derive(Default)]
pub struct MovingAverageFraction {
    /// Current average.
    fraction: f64,
}

impl MovingAverageFraction {
    /// Records that the outcome occurred, with the weight `gain`, from 0 to 1.
    pub fn record_occurrence(&mut self, gain: f64) {
        self.fraction += gain * (1.0 - self.fraction);
    }

    /// Records that the outcome did not occur, with the weight `gain`, from 0 to 1.
    pub fn record_non_occurrence(&mut self, gain: f64) {
        self.fraction *= 1.0 - gain;
    }

    /// Returns the current average.
    pub fn fraction(&self) -> f64 {
        self.fraction
    }
}
