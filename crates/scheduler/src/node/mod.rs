//! What is known of a node, and what it may be sent.
//!
//! - `concurrency_limit`: how many requests may be in flight at it, and at which pace.
//! - `outlier_ejection`, `dispatch_pause`: when it is avoided.
//! - `slow_start`: how much it may be sent while it warms up.
//! - `latency_estimate`, `loss_rate`, `error_rate`: what its responses show.
//! - `attempt_timeout`: when an attempt at it times out.

pub mod attempt_timeout;
mod concurrency_limit;
mod dispatch_pause;
mod error_rate;
mod health;
pub mod latency_estimate;
mod loss_rate;
pub mod outlier_ejection;
pub mod slow_start;

pub use concurrency_limit::MAX_IN_FLIGHT;
pub use health::Measurement;

use crate::api::{Endpoint, EndpointStatus, Micros, SlowStart, Units};
use concurrency_limit::ConcurrencyLimit;
use health::NodeHealth;
use latency_estimate::LatencyEstimate;
use slow_start::SlowStartUsage;

/// Requests in flight at an ejected node: one trial attempt.
const MAX_TRIALS_IN_FLIGHT: usize = 1;

/// A node of the endpoint list, or one that was removed with attempts still in flight.
pub struct Node {
    /// Its entry of the endpoint list.
    endpoint: Endpoint,
    /// Attempts of this host in flight at the node.
    in_flight: usize,
    /// Units of those attempts.
    in_flight_units: Units,
    /// What its attempts have shown since its process started.
    health: NodeHealth,
}

impl Node {
    /// A node listed for the first time.
    pub fn new(endpoint: Endpoint) -> Self {
        Node {
            endpoint,
            in_flight: 0,
            in_flight_units: Units::ZERO,
            health: NodeHealth::default(),
        }
    }

    /// Its entry of the endpoint list.
    pub fn endpoint(&self) -> &Endpoint {
        &self.endpoint
    }

    /// Replaces its entry of the endpoint list. The measurements belong to a process, so that a
    /// restarted one begins without any.
    pub fn update(&mut self, endpoint: &Endpoint) {
        let is_restarted =
            endpoint.started_at.is_some() && endpoint.started_at != self.endpoint.started_at;
        if is_restarted {
            self.health = NodeHealth::default();
        }
        self.endpoint = endpoint.clone();
    }

    /// Marks it as removed from the endpoint list.
    pub fn remove(&mut self) {
        self.endpoint.status = EndpointStatus::Removed;
    }

    /// Whether the endpoint list has it in service.
    pub fn is_in_service(&self) -> bool {
        self.endpoint.status == EndpointStatus::InService
    }

    /// Whether it was removed from the endpoint list and has no attempts in flight.
    pub fn is_removed_and_idle(&self) -> bool {
        self.endpoint.status == EndpointStatus::Removed && self.in_flight == 0
    }

    /// Counts an attempt that is dispatched to it.
    pub fn start_attempt(&mut self, units: Units, slow_start: &SlowStart, now: Micros) {
        self.in_flight += 1;
        self.in_flight_units += units;
        if slow_start::warming_up_since(self, slow_start, now).is_some() {
            self.health.slow_start.record(units, slow_start, now);
        }
    }

    /// Counts a completed attempt and what it shows.
    pub fn complete_attempt(&mut self, units: Units, measurement: &Measurement, now: Micros) {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.in_flight_units -= units;
        self.health.record(measurement, now);
    }

    /// Units of this host's attempts in flight.
    pub fn in_flight_units(&self) -> Units {
        self.in_flight_units
    }

    /// Latencies of its responses.
    pub fn latency(&self) -> &LatencyEstimate {
        &self.health.latency
    }

    /// Limit on this host's requests in flight.
    pub fn concurrency_limit(&self) -> &ConcurrencyLimit {
        &self.health.limit
    }

    /// Units sent to it while it was warming up.
    pub fn slow_start_usage(&self) -> &SlowStartUsage {
        &self.health.slow_start
    }

    /// Whether a noticeable part of the attempts ends without a response.
    pub fn has_high_loss_rate(&self) -> bool {
        self.health.loss_rate.is_high()
    }

    /// Whether it is an outlier: ejected, or with many errors.
    pub fn is_faulty(&self) -> bool {
        self.is_ejected() || self.health.error_rate.is_high()
    }

    /// Whether it gets trial attempts only.
    pub fn is_ejected(&self) -> bool {
        self.health.ejection.is_ejected()
    }

    /// Whether nothing is dispatched to it now.
    pub fn is_paused(&self, now: Micros) -> bool {
        self.health.pause.is_active(now)
    }

    /// The end of its pause; in the past if there is none.
    pub fn paused_until(&self) -> Micros {
        self.health.pause.until()
    }

    /// Pauses it until the next trial attempt of its ejection.
    pub fn start_trial_interval(&mut self, now: Micros) {
        let interval = self.health.ejection.trial_interval();
        self.health.pause.start_between_trials(interval, now);
    }

    /// Whether as many requests are in flight as a node can have at once, at any concurrency limit.
    pub fn is_full(&self) -> bool {
        self.in_flight >= MAX_IN_FLIGHT
    }

    /// Whether as many attempts are in flight as an ejected node may have, those from before its
    /// ejection included.
    pub fn is_full_for_trials(&self) -> bool {
        self.in_flight >= MAX_TRIALS_IN_FLIGHT
    }

    /// Whether the concurrency limit allows one more request of this relative value.
    pub fn has_capacity(&self, value: f64, now: Micros) -> bool {
        self.health.limit.has_capacity(self.in_flight, value, now)
    }

    /// Whether nothing is in flight and the concurrency limit is at its maximum.
    pub fn is_idle_at_full_limit(&self) -> bool {
        self.in_flight == 0 && self.health.limit.is_at_maximum()
    }
}
