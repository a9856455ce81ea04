//! Which requests may be retried, by the gateway or by the client.

use super::Scheduler;
use crate::api::{DeduplicationScope, Idempotency, Micros, NodeId, Outcome, RequestId};
use crate::state::{Node, PendingRequest, Position};

/// Bounds of the Retry-After time of a rejection.
const MIN_RETRY_AFTER: Micros = 10_000;
const MAX_RETRY_AFTER: Micros = 500_000;

/// Whether the client may safely retry, at any node.
pub(super) fn client_may_retry(pending: &PendingRequest) -> bool {
    match pending.class.idempotency {
        Idempotency::Idempotent | Idempotency::Keyed { scope: DeduplicationScope::All, .. } => true,
        _ => !pending.may_have_executed(),
    }
}

impl Scheduler {
    /// Queues a request for another attempt if that is allowed and safe, else gives it its final response.
    pub(super) fn retry_or_reject(&mut self, id: RequestId, failed_at: NodeId, outcome: Outcome) {
        let Some(pending) = self.state.requests.get(&id) else { return };
        let has_attempts_left = pending.attempts < self.settings.max_attempts;
        let has_time_left = pending.request.deadline > self.now;
        let next_node = self.state.successor_of(failed_at);
        let is_safe = pending.first_executed.is_none()
            || next_node.is_some_and(|node| self.may_execute_at(pending, node));
        if outcome != Outcome::NotDispatched && has_attempts_left && has_time_left && is_safe {
            self.enqueue(id, Position::Front);
        } else {
            self.reject(id);
        }
    }

    /// Whether attempts, retry budget and idempotency allow a retry at a node.
    pub(super) fn may_retry_at(&self, pending: &PendingRequest, node: &Node) -> bool {
        let has_attempts_left = pending.attempts < self.settings.max_attempts && pending.in_flight.is_empty();
        has_attempts_left && self.is_within_retry_budget() && self.may_execute_at(pending, node)
    }

    fn is_within_retry_budget(&self) -> bool {
        let Some(budget) = &self.settings.retry_budget else { return true };
        // An entry exactly one window old counts as a retry but not as a request: the stricter reading.
        let requests = self.state.recent_requests.within(budget.window - 1, self.now).count();
        let retries = self.state.recent_retries.within(budget.window, self.now).count();
        retries as f64 + 1.0 <= budget.allowance + budget.ratio * requests as f64
    }

    /// Whether a node may execute a request, given an earlier attempt that may have been executed.
    pub(super) fn may_execute_at(&self, pending: &PendingRequest, node: &Node) -> bool {
        let Some(first) = pending.first_executed else { return true };
        let (scope, window) = match pending.class.idempotency {
            Idempotency::Idempotent => return true,
            Idempotency::NonIdempotent => return false,
            Idempotency::Keyed { scope, window } => (scope, window),
        };
        let Some(first_node) = self.state.nodes.get(&first.node) else { return false };
        let deduplicates = match scope {
            DeduplicationScope::All => true,
            DeduplicationScope::Zone => first_node.endpoint.zone == node.endpoint.zone,
            DeduplicationScope::Shard => first_node.endpoint.shard == node.endpoint.shard,
        };
        deduplicates && self.now - first.dispatched_at < window
    }

    /// The Retry-After time in microseconds: the node's expected latency, scaled up while its concurrency
    /// limit is below one, and at least the rest of its pause.
    pub(super) fn retry_after(&self, pending: &PendingRequest) -> Micros {
        let node = pending.request.shard.and_then(|shard| self.state.node_of(shard));
        let Some(health) = node.map(|node| &node.health) else { return MAX_RETRY_AFTER };
        let next_slot = (health.expected_latency(self.now) / health.concurrency_limit.min(1.0)) as Micros;
        next_slot.max(health.paused_until - self.now).clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER)
    }
}
