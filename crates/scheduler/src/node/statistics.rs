//! Statistics and limits derived from the attempts at a node since its process started.
//!
//! Each statistic and each limit has its own type. This module passes each completed attempt to the
//! types that it affects.

use super::concurrency_limit::ConcurrencyLimit;
use super::dispatch_pause::DispatchPause;
use super::error_rate::ErrorRate;
use super::latency_estimate::LatencyEstimate;
use super::loss_rate::LossRate;
use super::outlier_ejection::OutlierEjection;
use super::slow_start::SlowStartUsage;
use crate::api::{Micros, Outcome};
use crate::time::Latency;

/// Data of a completed attempt that updates the statistics and limits of a node.
pub struct AttemptMeasurement {
    /// How the attempt ended.
    pub outcome: Outcome,
    /// Time from the dispatch to the end of the attempt.
    pub elapsed: Micros,
    /// Time at which the attempt was dispatched.
    pub dispatched_at: Micros,
    /// Expected latency for the size of the request, as a multiple of that of a request of mean
    /// size.
    pub relative_latency: f64,
    /// Latency objective of the request's class.
    pub latency_objective: Micros,
}

/// Statistics of a node, and the limits derived from them.
#[derive(Default)]
pub struct NodeStatistics {
    /// Estimate of the node's latency.
    pub latency: LatencyEstimate,
    /// Fraction of attempts without a response.
    pub loss_rate: LossRate,
    /// Fraction of responses that are errors.
    pub error_rate: ErrorRate,
    /// Limit on the requests in flight.
    pub limit: ConcurrencyLimit,
    /// Attempts without a response since the last one that was served, and the ejection that they
    /// cause.
    pub ejection: OutlierEjection,
    /// Pause of dispatches to the node.
    pub pause: DispatchPause,
    /// Units sent to the node while it was warming up.
    pub slow_start: SlowStartUsage,
}

impl NodeStatistics {
    /// Updates the statistics and limits after an attempt.
    pub fn record(&mut self, measurement: &AttemptMeasurement, now: Micros) {
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

    /// Updates the statistics after an attempt that was served.
    fn record_served(&mut self, measurement: &AttemptMeasurement, now: Micros) {
        // A served trial attempt ends the ejection, and with it the pause before the next trial
        // attempt.
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
