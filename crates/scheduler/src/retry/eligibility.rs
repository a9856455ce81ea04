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
use crate::request::UnfinishedRequest;

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
    /// A request that the caller did not send (`NotDispatched`) is not retried: if it could not be
    /// sent, a retry would end the same way, and if it was cancelled, it needs no response.
    pub fn may_requeue(
        &self,
        unfinished: &UnfinishedRequest,
        failed_node: NodeId,
        outcome: Outcome,
    ) -> bool {
        outcome != Outcome::NotDispatched
            && self.has_attempts_left(unfinished)
            && unfinished.request().deadline > self.now
            && self.is_safe_at_successor(unfinished, failed_node)
    }

    /// Returns whether a retry of a request may be dispatched to the node now.
    pub fn may_retry_at(&self, unfinished: &UnfinishedRequest, node: &Node) -> bool {
        self.has_attempts_left(unfinished)
            && unfinished.in_flight().is_empty()
            && self.budget.allows_retry(self.now)
            && may_execute_at(unfinished, node, self.nodes, self.now)
    }

    /// Returns whether the request has had fewer attempts than the settings allow.
    fn has_attempts_left(&self, unfinished: &UnfinishedRequest) -> bool {
        unfinished.attempts() < self.max_attempts
    }

    /// Returns whether the node that now holds the shard of the failed attempt may execute the
    /// request.
    fn is_safe_at_successor(&self, unfinished: &UnfinishedRequest, failed_node: NodeId) -> bool {
        if unfinished.first_possibly_executed().is_none() {
            return true;
        }
        match self.nodes.successor_of(failed_node) {
            Some(node) => may_execute_at(unfinished, node, self.nodes, self.now),
            None => false,
        }
    }
}
