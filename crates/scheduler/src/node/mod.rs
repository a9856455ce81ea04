//! State of a node, and the rules that limit what is dispatched to it.
//!
//! - `concurrency_limit`: how many requests may be in flight at the node, and the pacing of
//!   dispatches.
//! - `outlier_ejection`, `dispatch_pause`: when the node is avoided.
//! - `slow_start`: how many units the node may be sent while it is warming up.
//! - `latency_estimate`, `loss_rate`, `error_rate`: statistics of its responses.
//! - `statistics`: these statistics and limits, updated by each completed attempt.
//! - `attempt_timeout`: when an attempt at the node times out.

pub mod attempt_timeout;
mod concurrency_limit;
mod dispatch_pause;
mod error_rate;
pub mod latency_estimate;
mod loss_rate;
pub mod outlier_ejection;
pub mod slow_start;
mod statistics;

pub use concurrency_limit::MAX_IN_FLIGHT;
pub use statistics::AttemptMeasurement;

use crate::api::{Endpoint, EndpointStatus, Micros, SlowStart, Units};
use concurrency_limit::ConcurrencyLimit;
use latency_estimate::LatencyEstimate;
use slow_start::SlowStartUsage;
use statistics::NodeStatistics;

/// Maximum number of requests in flight at an ejected node: one trial attempt.
const MAX_TRIALS_IN_FLIGHT: usize = 1;

/// A node in the endpoint list, or a removed node that still has attempts in flight.
pub struct Node {
    /// The node's entry in the endpoint list.
    endpoint: Endpoint,
    /// Number of this host's attempts in flight at the node.
    in_flight: usize,
    /// Units of these attempts.
    in_flight_units: Units,
    /// Statistics and limits from the attempts since the node's process started.
    statistics: NodeStatistics,
}

impl Node {
    /// Creates a node that is listed for the first time.
    pub fn new(endpoint: Endpoint) -> Self {
        Node {
            endpoint,
            in_flight: 0,
            in_flight_units: Units::ZERO,
            statistics: NodeStatistics::default(),
        }
    }

    /// Returns the node's entry in the endpoint list.
    pub fn endpoint(&self) -> &Endpoint {
        &self.endpoint
    }

    /// Replaces the node's entry in the endpoint list. If the node's process was restarted, its
    /// statistics and limits are reset, because they describe the previous process.
    pub fn update(&mut self, endpoint: &Endpoint) {
        let is_restarted =
            endpoint.started_at.is_some() && endpoint.started_at != self.endpoint.started_at;
        if is_restarted {
            self.statistics = NodeStatistics::default();
        }
        self.endpoint = endpoint.clone();
    }

    /// Marks the node as removed from the endpoint list.
    pub fn remove(&mut self) {
        self.endpoint.status = EndpointStatus::Removed;
    }

    /// Returns whether the node is in service according to the endpoint list.
    pub fn is_in_service(&self) -> bool {
        self.endpoint.status == EndpointStatus::InService
    }

    /// Returns whether the node was removed from the endpoint list and has no attempts in flight.
    pub fn is_removed_and_idle(&self) -> bool {
        self.endpoint.status == EndpointStatus::Removed && self.in_flight == 0
    }

    /// Records an attempt that is dispatched to the node.
    pub fn start_attempt(&mut self, units: Units, slow_start: &SlowStart, now: Micros) {
        self.in_flight += 1;
        self.in_flight_units += units;
        if slow_start::warming_up_since(self, slow_start, now).is_some() {
            self.statistics.slow_start.record(units, slow_start, now);
        }
    }

    /// Records a completed attempt and updates the node's statistics.
    pub fn complete_attempt(
        &mut self,
        units: Units,
        measurement: &AttemptMeasurement,
        now: Micros,
    ) {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.in_flight_units -= units;
        self.statistics.record(measurement, now);
    }

    /// Returns the units of this host's attempts in flight at the node.
    pub fn in_flight_units(&self) -> Units {
        self.in_flight_units
    }

    /// Returns the latency estimate of the node.
    pub fn latency(&self) -> &LatencyEstimate {
        &self.statistics.latency
    }

    /// Returns the limit on this host's requests in flight at the node.
    pub fn concurrency_limit(&self) -> &ConcurrencyLimit {
        &self.statistics.limit
    }

    /// Returns the units that this host sent to the node while it was warming up.
    pub fn slow_start_usage(&self) -> &SlowStartUsage {
        &self.statistics.slow_start
    }

    /// Returns whether the fraction of attempts that end without a response is high.
    pub fn has_high_loss_rate(&self) -> bool {
        self.statistics.loss_rate.is_high()
    }

    /// Returns whether the node is ejected or its error rate is high.
    pub fn is_faulty(&self) -> bool {
        self.is_ejected() || self.statistics.error_rate.is_high()
    }

    /// Returns whether the node is ejected. It then receives only trial attempts, unless the panic
    /// threshold is exceeded, which the caller checks.
    pub fn is_ejected(&self) -> bool {
        self.statistics.ejection.is_ejected()
    }

    /// Returns whether dispatches to the node are paused.
    pub fn is_paused(&self, now: Micros) -> bool {
        self.statistics.pause.is_active(now)
    }

    /// Returns the end of the node's pause, which is in the past if the node is not paused.
    pub fn paused_until(&self) -> Micros {
        self.statistics.pause.until()
    }

    /// Pauses the ejected node until its next trial attempt.
    pub fn start_trial_interval(&mut self, now: Micros) {
        let interval = self.statistics.ejection.trial_interval();
        self.statistics.pause.start_between_trials(interval, now);
    }

    /// Returns whether [`MAX_IN_FLIGHT`] requests are in flight, the maximum for any concurrency
    /// limit.
    pub fn is_at_max_in_flight(&self) -> bool {
        self.in_flight >= MAX_IN_FLIGHT
    }

    /// Returns whether [`MAX_TRIALS_IN_FLIGHT`] attempts are in flight, the maximum for an ejected
    /// node. Attempts that started before the ejection count, too.
    pub fn is_at_trial_limit(&self) -> bool {
        self.in_flight >= MAX_TRIALS_IN_FLIGHT
    }

    /// Returns whether the concurrency limit allows one more request of this value
    /// (`dmclock::selection`), from 0 to 1.
    pub fn has_capacity(&self, request_value: f64, now: Micros) -> bool {
        self.statistics
            .limit
            .has_capacity(self.in_flight, request_value, now)
    }

    /// Returns whether nothing is in flight and the concurrency limit is at its maximum.
    pub fn is_idle_at_maximum_limit(&self) -> bool {
        self.in_flight == 0 && self.statistics.limit.is_at_maximum()
    }
}
