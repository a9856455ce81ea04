//! A node of the endpoint list, its attempts in flight and its health.

use super::{LatencyEstimate, SlidingWindow};
use crate::api::{Endpoint, EndpointStatus, Micros};

/// A node with the latest state that the endpoint list gave for it.
pub struct Node {
    /// Its line of the endpoint list.
    pub endpoint: Endpoint,
    /// Attempts of this host in flight at the node.
    pub in_flight: usize,
    /// Units of those attempts.
    pub in_flight_units: f64,
    /// Measurements of its attempts since its process started.
    pub health: NodeHealth,
}

impl Node {
    /// A node listed for the first time.
    pub fn new(endpoint: Endpoint) -> Self {
        Node { endpoint, in_flight: 0, in_flight_units: 0.0, health: NodeHealth::new() }
    }

    /// Counts an attempt dispatched to the node.
    pub fn add_attempt(&mut self, units: f64) {
        self.in_flight += 1;
        self.in_flight_units += units;
    }

    /// Removes an attempt that completed from those in flight.
    pub fn remove_attempt(&mut self, units: f64) {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.in_flight_units -= units;
    }

    /// Whether the endpoint list has it in service.
    pub fn is_in_service(&self) -> bool {
        self.endpoint.status == EndpointStatus::InService
    }
}

/// Measurements of a node since its process started, and the limits derived from them.
#[derive(Default)]
pub struct NodeHealth {
    /// Latency of a request of mean size, in microseconds.
    pub latency: LatencyEstimate,
    /// When it last served an attempt.
    pub last_served_at: Micros,
    /// Moving average of the fraction of attempts that end without a response.
    pub loss_rate: f64,
    /// Moving average of the fraction of responses that are errors.
    pub error_rate: f64,
    /// Attempts without a response since the last one served.
    pub consecutive_failures: u32,
    /// AIMD limit on requests in flight, up to `MAX_IN_FLIGHT`; below one, dispatches are paced.
    pub concurrency_limit: f64,
    /// When that limit was last decreased.
    pub decreased_at: Micros,
    /// Latency of the last response, in microseconds, at most the latency objective: the unit of pacing.
    pub pacing_interval: f64,
    /// When that response was received.
    pub paced_since: Micros,
    /// Nothing is dispatched to the node before this time.
    pub paused_until: Micros,
    /// Units dispatched to the node while it was warming up.
    pub slow_start_units: SlidingWindow<f64>,
}
