//! Estimates how long a node takes to serve a request.
//!
//! The relative latency of a request is the latency expected for its size, as a multiple of the
//! latency expected for a request of mean size. The samples are the latencies of served attempts in
//! microseconds, each divided by the relative latency of its request. The result is the latency
//! expected for a request of mean size that is dispatched to the node now. Without recent samples,
//! the expected latency decays, so that a node that was slow is tried again.

use crate::api::{Micros, Units};
use crate::time::Latency;

/// Weight of a new sample in the moving averages of mean and deviation.
const LATENCY_GAIN: f64 = 0.1;
/// The first sample has no mean to differ from: its deviation is assumed to be this fraction of it.
const FIRST_SAMPLE_DEVIATION_FRACTION: f64 = 0.5;
/// Time in microseconds without a served attempt after which the expected latency is halved.
const LATENCY_HALF_LIFE: f64 = 250_000.0;
/// Factor applied to the expected latency per half-life.
const DECAY_PER_HALF_LIFE: f64 = 0.5;
/// Fraction of the latency that is proportional to the units of the request; the rest does not
/// depend on its size.
const SIZE_DEPENDENT_FRACTION: f64 = 0.5;
/// Lower bound of the mean request size, which is a divisor in [`relative_latency`].
const MIN_MEAN_UNITS: Units = Units(1e-9);

/// Returns the relative latency of a request of `units`.
pub fn relative_latency(units: Units, mean_units: Units) -> f64 {
    let size_dependent = (units * SIZE_DEPENDENT_FRACTION).ratio_to(mean_units.max(MIN_MEAN_UNITS));
    1.0 - SIZE_DEPENDENT_FRACTION + size_dependent
}

/// Mean and mean absolute deviation of the latency of requests of mean size.
#[derive(Default)]
pub struct LatencyEstimate {
    /// Moving average of the samples; `None` before the first sample.
    mean: Option<Latency>,
    /// Moving average of the distance between a sample and the mean.
    deviation: Latency,
    /// Time at which the last sample was added.
    last_sample_at: Micros,
}

impl LatencyEstimate {
    /// Adds a sample, already scaled to a request of mean size.
    pub fn record(&mut self, sample: Latency, now: Micros) {
        let deviation = match self.mean {
            Some(mean) => sample.abs_difference(mean),
            None => sample * FIRST_SAMPLE_DEVIATION_FRACTION,
        };
        self.deviation = self.deviation.moved_towards(deviation, LATENCY_GAIN);
        self.mean = match self.mean {
            Some(mean) => Some(mean.moved_towards(sample, LATENCY_GAIN)),
            None => Some(sample),
        };
        self.last_sample_at = now;
    }

    /// Returns the mean, or `None` before the first sample.
    pub fn mean(&self) -> Option<Latency> {
        self.mean
    }

    /// Returns the mean plus `deviations` times the deviation, or `None` before the first sample.
    pub fn mean_plus_deviations(&self, deviations: f64) -> Option<Latency> {
        Some(self.mean? + self.deviation * deviations)
    }

    /// Returns the expected latency of a request of mean size that is dispatched now, or zero
    /// before the first sample.
    pub fn expected(&self, now: Micros) -> Latency {
        let Some(mean) = self.mean else {
            return Latency::ZERO;
        };
        let half_lives = (now - self.last_sample_at) as f64 / LATENCY_HALF_LIFE;
        (mean + self.deviation) * DECAY_PER_HALF_LIFE.powf(half_lives)
    }
}
