//! Moving averages of a latency.

/// Mean and mean deviation of a latency, in microseconds.
#[derive(Default)]
pub struct LatencyEstimate {
    /// The mean; `None` before the first sample.
    pub mean: Option<f64>,
    /// The mean deviation.
    pub deviation: f64,
}

impl LatencyEstimate {
    /// Adds a sample with the weight `gain`, from 0 to 1.
    pub fn record(&mut self, latency: f64, gain: f64) {
        let deviation = self.mean.map_or(latency / 2.0, |mean| (latency - mean).abs());
        self.deviation += gain * (deviation - self.deviation);
        self.mean = Some(self.mean.map_or(latency, |mean| mean + gain * (latency - mean)));
    }
}
