//! When an attempt at a node times out.
//!
//! Inputs: the node's latency and loss rate, and the size, latency objective and its end of the
//! request. An attempt usually has until the end of the objective, or a multiple of the mean
//! latency if that is longer. Where responses get lost and those that arrive are quick, it times
//! out early: a lost response must not occupy one of the few slots of the node's concurrency limit.
//! The result is a time in microseconds.

use super::Node;
use crate::api::Micros;
use crate::time::Latency;

/// Attempt timeout as a multiple of the node's mean latency.
const ATTEMPT_TIMEOUT_FACTOR: f64 = 4.0;
/// Deviations beyond the mean latency after which a response counts as lost.
const LOSS_TIMEOUT_DEVIATIONS: f64 = 4.0;
/// Longest such timeout, as a fraction of the latency objective: above it the node is not quick.
const MAX_LOSS_TIMEOUT_FRACTION: f64 = 0.6;
/// Smallest factor by which a request's size scales the timeout for lost responses.
const MIN_LOSS_TIMEOUT_SCALE: f64 = 1.0;

/// What an attempt's timeout depends on besides its node.
pub struct TimeoutInputs {
    /// Expected latency for the size of the request, as a multiple of that of a request of mean
    /// size.
    pub relative_latency: f64,
    /// Latency objective of its class.
    pub latency_objective: Micros,
    /// When the objective ends.
    pub objective_at: Micros,
}

/// When an attempt dispatched to the node now times out, apart from the request's deadline.
pub fn times_out_at(node: &Node, inputs: &TimeoutInputs, now: Micros) -> Micros {
    let Some(mean) = node.latency().mean() else {
        return inputs.objective_at.max(now);
    };
    if let Some(timeout) = loss_timeout(node, inputs) {
        return now + timeout.to_micros();
    }
    let timeout = mean * (ATTEMPT_TIMEOUT_FACTOR * inputs.relative_latency);
    inputs.objective_at.max(now + timeout.to_micros())
}

/// The early timeout at a node that loses responses and is quick otherwise; `None` at any other.
fn loss_timeout(node: &Node, inputs: &TimeoutInputs) -> Option<Latency> {
    if !node.has_high_loss_rate() || node.is_ejected() {
        return None;
    }
    let timeout = node
        .latency()
        .mean_and_deviations(LOSS_TIMEOUT_DEVIATIONS)?;
    let longest = Latency::from_micros(inputs.latency_objective) * MAX_LOSS_TIMEOUT_FRACTION;
    if timeout < longest {
        Some(timeout * inputs.relative_latency.max(MIN_LOSS_TIMEOUT_SCALE))
    } else {
        None
    }
}
