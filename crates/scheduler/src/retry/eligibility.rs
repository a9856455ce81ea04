//! Decides whether a request gets another attempt after one that failed.
//!
//! The decision depends on the number of attempts, the deadline (microseconds), the outcome of the
//! last attempt, the retry budget, and the idempotency of the request. It is made twice: when an
//! attempt ends, to queue the request again or give it its final response, and when the request is
//! about to be dispatched from a node's queue.

use super::idempotency::may_execute_at;
use super::retry_budget::RetryBudgetUsage;
use crate::api::{Micros, NodeId, Outcome};
use crate::endpoints::NodeTable;
use crate::node::Node;
use crate::request::PendingRequest;

/// Inputs of the retry rules at one moment.
pub struct RetryEligibility<'a> {
    /// Maximum number of attempts of one request, the first included.
    pub max_attempts: u32,
    /// Usage of the retry budget.
    pub budget: &'a RetryBudgetUsage,
    /// All nodes, including those of earlier attempts.
    pub nodes: &'a NodeTable,
    /// The current time, in microseconds.
    pub now: Micros,
}

impl RetryEligibility<'_> {
    /// Returns whether a request is queued for another attempt after its attempt at `failed_node`
    /// ended without service.
    ///
    /// A request that the caller could not send (`NotDispatched`) is not retried, because a retry
    /// would end the same way.
    pub fn may_requeue(
        &self,
        pending: &PendingRequest,
        failed_node: NodeId,
        outcome: Outcome,
    ) -> bool {
        outcome != Outcome::NotDispatched
            && self.has_attempts_left(pending)
            && pending.request().deadline > self.now
            && self.is_safe_at_successor(pending, failed_node)
    }

    /// Returns whether a retry of a request may be dispatched to the node now.
    pub fn may_retry_at(&self, pending: &PendingRequest, node: &Node) -> bool {
        self.has_attempts_left(pending)
            && pending.in_flight().is_empty()
            && self.budget.allows_retry(self.now)
            && may_execute_at(pending, node, self.nodes, self.now)
    }

    /// Returns whether the request has had fewer attempts than the settings allow.
    fn has_attempts_left(&self, pending: &PendingRequest) -> bool {
        pending.attempts() < self.max_attempts
    }

    /// Returns whether the node that now holds the shard of the failed attempt may execute the
    /// request.
    fn is_safe_at_successor(&self, pending: &PendingRequest, failed_node: NodeId) -> bool {
        if pending.first_possibly_executed().is_none() {
            return true;
        }
        match self.nodes.successor_of(failed_node) {
            Some(node) => may_execute_at(pending, node, self.nodes, self.now),
            None => false,
        }
    }
}
