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
/// Longest Retry-After, in microseconds; also that of a request that names no shard, as for a new
/// object, and of one whose shard no node holds.
const MAX_RETRY_AFTER: Micros = 500_000;

/// The Retry-After of a rejected request; `node` is the one that holds the shard that it names.
pub fn retry_after(node: Option<&Node>, now: Micros) -> Micros {
    let Some(node) = node else {
        return MAX_RETRY_AFTER;
    };
    let limit = node.concurrency_limit().limit_up_to_one();
    let next_slot = (node.latency().expected(now) / limit).to_micros();
    let pause = node.paused_until() - now;
    next_slot.max(pause).clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER)
}
