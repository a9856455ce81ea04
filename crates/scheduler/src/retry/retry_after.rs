//! When a client whose request is rejected should retry (Retry-After).
//!
//! Inputs: expected latency, concurrency limit and pause of the node that holds the request's
//! shard. The client is told the time after which the node probably has a free slot: its expected
//! latency, scaled up while its concurrency limit is below one, and at least the rest of its pause.
//! Microseconds.

use crate::api::Micros;
use crate::node::Node;

/// Shortest Retry-After, in microseconds.
const MIN_RETRY_AFTER: Micros = 10_000;
/// Longest Retry-After, in microseconds; also that of a request for which there is no node.
const MAX_RETRY_AFTER: Micros = 500_000;

/// The Retry-After of a rejected request; `node` holds its shard, if there is one.
pub fn retry_after(node: Option<&Node>, now: Micros) -> Micros {
    let Some(node) = node else {
        return MAX_RETRY_AFTER;
    };
    let pacing_rate = node.concurrency_limit().pacing_rate();
    let next_slot = (node.latency().expected(now) / pacing_rate).to_micros();
    let pause = node.paused_until() - now;
    next_slot.max(pause).clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER)
}
