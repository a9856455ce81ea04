//! Decides at which nodes a request may be executed again without taking effect twice.
//!
//! The decision depends on the idempotency of the request's class, and on the attempt that
//! completed first among those that a node may have executed. Duplicates of a request with an
//! idempotency key are recognized by the nodes of a scope, for a window (microseconds) after the
//! dispatch of that attempt.

use crate::api::{DeduplicationScope, Idempotency, Micros, Outcome};
use crate::endpoints::NodeTable;
use crate::node::Node;
use crate::request::UnfinishedRequest;

/// Returns whether a node may still be executing an attempt with this outcome.
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

/// Returns whether the client may safely retry at any node. The window of an idempotency key is not
/// considered, because it is not known when the client will retry.
pub fn client_may_retry(unfinished: &UnfinishedRequest) -> bool {
    match unfinished.class().idempotency {
        Idempotency::Idempotent => true,
        Idempotency::WithKey {
            scope: DeduplicationScope::All,
            ..
        } => true,
        Idempotency::WithKey { .. } | Idempotency::NonIdempotent => !unfinished.may_have_effect(),
    }
}

/// Returns whether a node may execute a request, given an earlier attempt that may have been
/// executed.
pub fn may_execute_at(
    unfinished: &UnfinishedRequest,
    node: &Node,
    nodes: &NodeTable,
    now: Micros,
) -> bool {
    let Some(first) = unfinished.first_possibly_executed() else {
        return true;
    };
    match unfinished.class().idempotency {
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

/// Returns the time before which another attempt has to be written so that nodes recognize it as a
/// duplicate; `None` if there is no such time.
pub fn write_before(unfinished: &UnfinishedRequest) -> Option<Micros> {
    let first = unfinished.first_possibly_executed()?;
    match unfinished.class().idempotency {
        Idempotency::WithKey { window, .. } => Some(first.dispatched_at + window),
        Idempotency::Idempotent | Idempotency::NonIdempotent => None,
    }
}

/// Returns whether one node recognizes duplicates of requests that the other has executed.
fn in_same_deduplication_scope(scope: DeduplicationScope, first: &Node, second: &Node) -> bool {
    match scope {
        DeduplicationScope::All => true,
        DeduplicationScope::Zone => first.endpoint().zone == second.endpoint().zone,
        DeduplicationScope::Shard => first.endpoint().shard == second.endpoint().shard,
    }
}
