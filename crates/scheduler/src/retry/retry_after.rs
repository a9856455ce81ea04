//! Computes when the client of a rejected request should retry (Retry-After), in microseconds.
//!
//! Retry-After is the time after which the node that holds the request's shard probably has a free
//! slot. It is the node's expected latency, divided by the concurrency limit if that is below one,
//! and at least the remaining time of the node's pause.

use crate::api::Micros;
use crate::node::Node;

/// Minimum Retry-After, in microseconds.
const MIN_RETRY_AFTER: Micros = 10_000;
/// Maximum Retry-After, in microseconds. Also used for requests that name no shard, such as those
/// for a new object, and for requests whose shard no node holds.
const MAX_RETRY_AFTER: Micros = 500_000;

/// Returns the Retry-After of a rejected request. `node` is the node that holds the shard named by
/// the request.
pub fn retry_after(node: Option<&Node>, now: Micros) -> Micros {
    let Some(node) = node else {
        return MAX_RETRY_AFTER;
    };
    let limit = node.concurrency_limit().limit_capped_at_one();
    let next_slot = (node.latency().expected(now) / limit).to_micros();
    let pause = node.paused_until() - now;
    next_slot.max(pause).clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER)
}
