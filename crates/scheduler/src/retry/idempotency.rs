//! Where a request may be executed again without taking effect twice.
//!
//! Inputs: the idempotency of the request's class, and the first of its attempts that a node may
//! have executed. A request with an idempotency key is recognized as a duplicate by the nodes of a
//! scope, for a window (microseconds) after the dispatch of that attempt.

use crate::api::{DeduplicationScope, Idempotency, Micros, Outcome};
use crate::endpoints::NodeTable;
use crate::node::Node;
use crate::request::PendingRequest;

/// Whether a node may have executed an attempt that ended so, or may still be executing it.
pub fn may_have_executed(outcome: Outcome) -> bool {
    match outcome {
        Outcome::Served
        | Outcome::Error
        | Outcome::TimedOut
        | Outcome::Reset
        | Outcome::Cancelled => true,
        Outcome::Overloaded | Outcome::ConnectFailed | Outcome::NotDispatched => false,
    }
}

/// Whether a node may still be executing an attempt that ended so.
pub fn may_be_executing(outcome: Outcome) -> bool {
    match outcome {
        Outcome::TimedOut | Outcome::Reset | Outcome::Cancelled => true,
        Outcome::Served
        | Outcome::Error
        | Outcome::Overloaded
        | Outcome::ConnectFailed
        | Outcome::NotDispatched => false,
    }
}

/// Whether the client may safely retry, at any node. The window of an idempotency key is not looked
/// at: when the client will retry is not known.
pub fn client_may_retry(pending: &PendingRequest) -> bool {
    match pending.class().idempotency {
        Idempotency::Idempotent => true,
        Idempotency::WithKey {
            scope: DeduplicationScope::All,
            ..
        } => true,
        Idempotency::WithKey { .. } | Idempotency::NonIdempotent => !pending.may_have_executed(),
    }
}

/// Whether a node may execute a request, given an earlier attempt that may have been executed.
pub fn may_execute_at(
    pending: &PendingRequest,
    node: &Node,
    nodes: &NodeTable,
    now: Micros,
) -> bool {
    let Some(first) = pending.first_maybe_executed() else {
        return true;
    };
    match pending.class().idempotency {
        Idempotency::Idempotent => true,
        Idempotency::NonIdempotent => false,
        Idempotency::WithKey { scope, window } => {
            let Some(first_node) = nodes.get(first.node) else {
                return false;
            };
            in_same_deduplication_scope(scope, first_node, node)
                && now - first.dispatched_at < window
        }
    }
}

/// Whether a node recognizes duplicates of requests that another node has executed.
fn in_same_deduplication_scope(scope: DeduplicationScope, first: &Node, second: &Node) -> bool {
    match scope {
        DeduplicationScope::All => true,
        DeduplicationScope::Zone => first.endpoint().zone == second.endpoint().zone,
        DeduplicationScope::Shard => first.endpoint().shard == second.endpoint().shard,
    }
}
