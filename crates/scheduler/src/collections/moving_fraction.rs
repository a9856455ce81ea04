//! Moving average of the fraction of events that are hits.

/// Exponentially weighted moving average of the fraction of events that were hits, from 0 to 1.
#[derive(Default)]
pub struct MovingFraction {
    /// Current average.
    fraction: f64,
}

impl MovingFraction {
    /// Records a hit with the weight `gain`, from 0 to 1.
    pub fn record_hit(&mut self, gain: f64) {
        self.fraction += gain * (1.0 - self.fraction);
    }

    /// Records an event that was not a hit, with the weight `gain`, from 0 to 1.
    pub fn record_miss(&mut self, gain: f64) {
        self.fraction *= 1.0 - gain;
    }

    /// Returns the current average.
    pub fn fraction(&self) -> f64 {
        self.fraction
    }
}
