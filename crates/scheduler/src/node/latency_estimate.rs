//! How long a node takes to serve a request.
//!
//! Inputs: the latencies of served attempts, divided by what the size of each request explains, in
//! microseconds. Decided: the latency that a request of mean size is expected to have at the node
//! now. Without recent responses the expectation falls, so that a node which was slow is tried
//! again.

use crate::api::{Micros, Units};
use crate::time::Latency;

/// Weight of a new sample in the moving averages of mean and deviation.
const LATENCY_GAIN: f64 = 0.1;
/// Deviation of a node with a single sample, as a fraction of that sample.
const INITIAL_DEVIATION: f64 = 0.5;
/// Time without a served attempt that halves the expected latency, in microseconds.
const LATENCY_HALF_LIFE: f64 = 250_000.0;
/// Factor on the expected latency after one half-life.
const DECAY_PER_HALF_LIFE: f64 = 0.5;
/// Fraction of a latency that is proportional to the request's units; the rest does not depend on
/// them.
const SIZE_DEPENDENT_FRACTION: f64 = 0.5;
/// Lower bound of the mean size of a request, which divides the size of each.
const MIN_MEAN_UNITS: Units = Units(1e-9);

/// Expected latency of a request, as a multiple of that of a request of mean size.
pub fn relative_latency(units: Units, mean_units: Units) -> f64 {
    let size_dependent = (units * SIZE_DEPENDENT_FRACTION).ratio_to(mean_units.max(MIN_MEAN_UNITS));
    1.0 - SIZE_DEPENDENT_FRACTION + size_dependent
}

/// Mean and mean deviation of the latency of requests of mean size.
#[derive(Default)]
pub struct LatencyEstimate {
    /// `None` before the first sample.
    mean: Option<Latency>,
    /// Moving average of the distance of the samples from the mean.
    deviation: Latency,
    /// When the last sample was added.
    last_sample_at: Micros,
}

impl LatencyEstimate {
    /// Adds a sample, scaled to a request of mean size.
    pub fn record(&mut self, sample: Latency, now: Micros) {
        let deviation = match self.mean {
            Some(mean) => sample.abs_difference(mean),
            None => sample * INITIAL_DEVIATION,
        };
        self.deviation = self.deviation.moved_towards(deviation, LATENCY_GAIN);
        self.mean = match self.mean {
            Some(mean) => Some(mean.moved_towards(sample, LATENCY_GAIN)),
            None => Some(sample),
        };
        self.last_sample_at = now;
    }

    /// The mean; `None` before the first sample.
    pub fn mean(&self) -> Option<Latency> {
        self.mean
    }

    /// The mean and so many deviations; `None` before the first sample.
    pub fn mean_and_deviations(&self, deviations: f64) -> Option<Latency> {
        Some(self.mean? + self.deviation * deviations)
    }

    /// Expected latency of a request of mean size that is dispatched now; zero before the first
    /// sample.
    pub fn expected(&self, now: Micros) -> Latency {
        let Some(mean) = self.mean else {
            return Latency::ZERO;
        };
        let half_lives = (now - self.last_sample_at) as f64 / LATENCY_HALF_LIFE;
        (mean + self.deviation) * DECAY_PER_HALF_LIFE.powf(half_lives)
    }
}
