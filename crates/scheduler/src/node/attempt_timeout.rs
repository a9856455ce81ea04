//! Determines when an attempt at a node times out, as a time in microseconds.
//!
//! The timeout depends on the node's latency and loss rate, and on the size and latency objective
//! of the request. An attempt usually has until the end of the latency objective, or a multiple of
//! the mean latency if that is longer. If the node loses responses but is otherwise fast, the
//! attempt times out earlier, because a lost response must not occupy one of the few slots of the
//! node's concurrency limit.

use super::Node;
use crate::api::Micros;
use crate::time::Latency;

/// Attempt timeout as a multiple of the node's mean latency.
const ATTEMPT_TIMEOUT_FACTOR: f64 = 4.0;
/// Number of deviations above the mean latency after which a response is considered lost.
const LOSS_TIMEOUT_DEVIATIONS: f64 = 4.0;
/// Upper bound of the timeout for lost responses, as a fraction of the latency objective. If the
/// timeout, before it is scaled by the request's size, is not below this, the node is considered
/// slow, and the usual timeout applies.
const MAX_LOSS_TIMEOUT_FRACTION: f64 = 0.6;
/// Lower bound of the factor by which the request's size scales the timeout for lost responses.
const MIN_LOSS_TIMEOUT_SCALE: f64 = 1.0;

/// Properties of a request that determine the timeout of its attempt.
pub struct TimeoutInputs {
    /// Expected latency for the size of the request, as a multiple of that of a request of mean
    /// size.
    pub relative_latency: f64,
    /// Latency objective of the request's class.
    pub latency_objective: Micros,
    /// Time at which the objective ends.
    pub objective_ends_at: Micros,
}

/// Returns when an attempt that is dispatched to the node now times out. The caller also applies
/// the request's deadline.
pub fn times_out_at(node: &Node, inputs: &TimeoutInputs, now: Micros) -> Micros {
    let Some(mean) = node.latency().mean() else {
        return inputs.objective_ends_at.max(now);
    };
    if let Some(timeout) = loss_timeout(node, inputs) {
        return now + timeout.to_micros();
    }
    let timeout = mean * (ATTEMPT_TIMEOUT_FACTOR * inputs.relative_latency);
    inputs.objective_ends_at.max(now + timeout.to_micros())
}

/// Returns the shorter timeout for a node that loses responses but is otherwise fast, or `None` for
/// any other node.
fn loss_timeout(node: &Node, inputs: &TimeoutInputs) -> Option<Latency> {
    if !node.has_high_loss_rate() || node.is_ejected() {
        return None;
    }
    let timeout = node
        .latency()
        .mean_plus_deviations(LOSS_TIMEOUT_DEVIATIONS)?;
    let max_timeout = Latency::from_micros(inputs.latency_objective) * MAX_LOSS_TIMEOUT_FRACTION;
    if timeout < max_timeout {
        Some(timeout * inputs.relative_latency.max(MIN_LOSS_TIMEOUT_SCALE))
    } else {
        None
    }
}
