//! A moving average of how often something happens.

/// Exponentially weighted fraction of the events that were hits, from 0 to 1.
#[derive(Default)]
pub struct MovingFraction {
    /// The average so far.
    fraction: f64,
}

impl MovingFraction {
    /// Counts a hit with the weight `gain`, from 0 to 1.
    pub fn record_hit(&mut self, gain: f64) {
        self.fraction += gain * (1.0 - self.fraction);
    }

    /// Counts an event that was no hit with the weight `gain`, from 0 to 1.
    pub fn record_miss(&mut self, gain: f64) {
        self.fraction *= 1.0 - gain;
    }

    /// The fraction.
    pub fn fraction(&self) -> f64 {
        self.fraction
    }
}
