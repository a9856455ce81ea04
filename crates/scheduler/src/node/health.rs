//! What the attempts at a node have shown since its process started.
//!
//! Each measurement is a type with a rule of its own; this module passes each completed attempt to
//! those that it concerns.

use super::concurrency_limit::ConcurrencyLimit;
use super::dispatch_pause::DispatchPause;
use super::error_rate::ErrorRate;
use super::latency_estimate::LatencyEstimate;
use super::loss_rate::LossRate;
use super::outlier_ejection::OutlierEjection;
use super::slow_start::SlowStartUsage;
use crate::api::{Micros, Outcome};
use crate::time::Latency;

/// A completed attempt, as far as it tells something about its node.
pub struct Measurement {
    /// How the attempt ended.
    pub outcome: Outcome,
    /// Time from its dispatch to its end.
    pub elapsed: Micros,
    /// When it was dispatched.
    pub dispatched_at: Micros,
    /// Expected latency for the size of its request, as a multiple of that of a request of mean
    /// size.
    pub relative_latency: f64,
    /// Latency objective of its request's class.
    pub latency_objective: Micros,
}

/// Measurements of a node, and the limits derived from them.
#[derive(Default)]
pub struct NodeHealth {
    /// How long its responses take.
    pub latency: LatencyEstimate,
    /// How often there is no response.
    pub loss_rate: LossRate,
    /// How often the response is an error.
    pub error_rate: ErrorRate,
    /// How many requests may be in flight.
    pub limit: ConcurrencyLimit,
    /// How many attempts had no response since the last one that was served.
    pub ejection: OutlierEjection,
    /// Until when nothing is dispatched to it.
    pub pause: DispatchPause,
    /// What it was sent while it was warming up.
    pub slow_start: SlowStartUsage,
}

impl NodeHealth {
    /// Updates the measurements after an attempt.
    pub fn record(&mut self, measurement: &Measurement, now: Micros) {
        match measurement.outcome {
            Outcome::Served => self.record_served(measurement, now),
            Outcome::Error => self.error_rate.record_error(),
            Outcome::Overloaded => self.pause.start_after_overload(now),
            Outcome::TimedOut | Outcome::ConnectFailed | Outcome::Reset => {
                self.ejection.record_failure();
                self.loss_rate.record_lost();
            }
            Outcome::Cancelled | Outcome::NotDispatched => {}
        }
        self.limit.record(measurement, now);
    }

    /// Updates the measurements after an attempt that was served.
    fn record_served(&mut self, measurement: &Measurement, now: Micros) {
        // A served trial attempt ends the ejection and with it the pause before the next one.
        if self.ejection.is_ejected() {
            self.pause.end(now);
        }
        self.ejection.record_served();
        self.error_rate.record_served();
        self.loss_rate.record_served();
        let sample = Latency::from_micros(measurement.elapsed) / measurement.relative_latency;
        self.latency.record(sample, now);
    }
}
