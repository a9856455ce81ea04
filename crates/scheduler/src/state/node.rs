//! A node of the endpoint list, what is in flight at it and what is known of it.

use super::{LatencyEstimate, SlidingWindow};
use crate::api::{Endpoint, EndpointStatus, Micros};

/// A node as listed last.
pub struct Node {
    /// Its line of the endpoint list.
    pub endpoint: Endpoint,
    /// Attempts of this host in flight at the node.
    pub in_flight: usize,
    /// Units of those attempts.
    pub in_flight_units: f64,
    /// What its attempts have shown since its process started.
    pub health: NodeHealth,
}

impl Node {
    /// A node listed for the first time.
    pub fn new(endpoint: Endpoint) -> Self {
        Node { endpoint, in_flight: 0, in_flight_units: 0.0, health: NodeHealth::new() }
    }

    /// Whether the list has it in service.
    pub fn is_in_service(&self) -> bool {
        self.endpoint.status == EndpointStatus::InService
    }
}

/// What is known of a node since its process started.
#[derive(Default)]
pub struct NodeHealth {
    /// Latency of a request of mean size.
    pub latency: LatencyEstimate,
    /// When it last served an attempt.
    pub last_served_at: Micros,
    /// Moving average of the part of attempts that end without a response.
    pub loss_rate: f64,
    /// Moving average of the part of responses that are errors.
    pub error_rate: f64,
    /// Attempts without a response since the last one served.
    pub consecutive_failures: u32,
    /// Requests in flight that its responses allow, up to `MAX_IN_FLIGHT`; below one, dispatches are paced.
    pub concurrency_limit: f64,
    /// When that limit was last decreased.
    pub decreased_at: Micros,
    /// Latency of the last response.
    pub pacing_interval: f64,
    /// When that response came.
    pub paced_since: Micros,
    /// Nothing is dispatched to the node before.
    pub paused_until: Micros,
    /// Units dispatched to the node while it warmed up.
    pub slow_start_units: SlidingWindow<f64>,
}
