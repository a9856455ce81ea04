//! Whether a request gets a further attempt after one that failed.
//!
//! Inputs: the number of its attempts and its deadline (microseconds), how the last attempt ended,
//! the retry budget, and its idempotency. The question is asked twice: when an attempt ends
//! (whether the request is queued again or gets its final response), and when its turn comes in the
//! queue of a node.

use super::idempotency::may_execute_at;
use super::retry_budget::RetryBudgetUsage;
use crate::api::{Micros, NodeId, Outcome};
use crate::endpoints::NodeTable;
use crate::node::Node;
use crate::request::PendingRequest;

/// The retry rules at one moment.
pub struct RetryEligibility<'a> {
    /// Maximum number of attempts of one request, the first included.
    pub max_attempts: u32,
    /// The use of the retry budget.
    pub budget: &'a RetryBudgetUsage,
    /// The nodes, among them those of earlier attempts.
    pub nodes: &'a NodeTable,
    /// The current time, in microseconds.
    pub now: Micros,
}

impl RetryEligibility<'_> {
    /// Whether a request whose attempt at a node ended without service is queued for another one.
    ///
    /// If the request was not sent at all, the caller could not send it, and a retry would end the
    /// same way.
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

    /// Whether the node may be sent a retry of a request now.
    pub fn may_retry_at(&self, pending: &PendingRequest, node: &Node) -> bool {
        self.has_attempts_left(pending)
            && pending.in_flight().is_empty()
            && self.budget.allows_retry(self.now)
            && may_execute_at(pending, node, self.nodes, self.now)
    }

    /// Whether the settings allow the request a further attempt.
    fn has_attempts_left(&self, pending: &PendingRequest) -> bool {
        pending.attempts() < self.max_attempts
    }

    /// Whether the node that now holds the shard of the failed attempt may execute the request.
    fn is_safe_at_successor(&self, pending: &PendingRequest, failed_node: NodeId) -> bool {
        if pending.first_maybe_executed().is_none() {
            return true;
        }
        match self.nodes.successor_of(failed_node) {
            Some(node) => may_execute_at(pending, node, self.nodes, self.now),
            None => false,
        }
    }
}
