//! Attempts end, and each request gets its one final response.
//!
//! What can end a request: an attempt that is served or whose response has started, an attempt that
//! fails and may not be retried, the time at which it is shed, and its client's disconnect. All of
//! them go through `close`.

use super::Scheduler;
use crate::api::{Action, CompletedAttempt, NodeId, Outcome, RequestId, Units};
use crate::dmclock::Position;
use crate::node::Measurement;
use crate::request::{Attempt, PendingRequest};
use crate::retry::idempotency::{client_may_retry, may_be_executing, may_have_executed};
use crate::retry::retry_after::retry_after;

/// Age of the last usage report, in periods of these reports, above which the next one is ignored.
const MAX_REPORT_AGE_PERIODS: i64 = 2;

impl Scheduler {
    /// Records how an attempt ended, then closes, retries or rejects its request.
    pub(super) fn on_attempt_completed(&mut self, completed: &CompletedAttempt) {
        let id = completed.request;
        let outcome = completed.outcome;
        let Some(pending) = self.requests.get_mut(&id) else {
            return;
        };
        let executed = may_have_executed(outcome);
        let Some(attempt) = pending.complete_attempt(completed.number, executed) else {
            return;
        };
        let needs_attempt = pending.needs_attempt();
        if may_be_executing(outcome) {
            self.quiesce_key(id);
        }
        self.record_attempt(attempt, completed);
        if outcome == Outcome::Served {
            self.close(id);
        } else if completed.request_closed {
            self.close_unserved(id);
        } else if needs_attempt {
            self.retry_or_reject(id, attempt.node, outcome);
        } else {
            self.remove_if_finished(id);
        }
    }

    /// Starts the quiesce period of a request's key, if the key has ordered requests. The request
    /// itself need not be of an ordered class.
    fn quiesce_key(&mut self, id: RequestId) {
        let key = self.requests[&id].request().key;
        if let Some(key) = key {
            let until = self.now + self.settings.quiesce_period;
            self.sequences.quiesce(key, until);
        }
    }

    /// Updates the usage of the volume, the node and the flow after an attempt.
    fn record_attempt(&mut self, attempt: Attempt, completed: &CompletedAttempt) {
        let pending = &self.requests[&completed.request];
        let request = pending.request();
        let is_served = completed.outcome == Outcome::Served;
        if let Some(volume) = self.volumes.get_mut(request.volume) {
            let served = if is_served {
                request.units
            } else {
                Units::ZERO
            };
            let max_report_age = MAX_REPORT_AGE_PERIODS * self.settings.usage_report_period;
            volume.record_usage(served, completed, max_report_age, self.now);
        }
        let Some(node) = self.nodes.get_mut(attempt.node) else {
            return;
        };
        let measurement = measurement(pending, attempt, completed);
        node.complete_attempt(request.units, &measurement, self.now);
        if is_served {
            return;
        }
        if let Some(queue) = self.queues.get_mut(node.endpoint().shard) {
            queue.subtract_unserved(request.volume, request.units);
        }
    }

    /// Queues a request for another attempt if that is allowed and safe, else gives it its final
    /// response.
    fn retry_or_reject(&mut self, id: RequestId, failed_node: NodeId, outcome: Outcome) {
        let pending = &self.requests[&id];
        let retry = self.retry_eligibility();
        if retry.may_requeue(pending, failed_node, outcome) {
            self.enqueue(id, Position::Front);
        } else {
            self.reject(id);
        }
    }

    /// Rejects requests that have waited too long.
    pub(super) fn reject_expired(&mut self) {
        while let Some(id) = self.rejections.pop_expired(self.now) {
            let Some(pending) = self.requests.get_mut(&id) else {
                continue;
            };
            if !self.rejections.postpone(pending) {
                self.reject(id);
            }
        }
    }

    /// Gives an open request its final response: a rejection if the client may safely retry, else a
    /// failure.
    fn reject(&mut self, id: RequestId) {
        let Some(pending) = self.requests.get(&id) else {
            return;
        };
        if !pending.is_open() {
            return;
        }
        let action = if client_may_retry(pending) {
            let node = pending
                .request()
                .shard
                .and_then(|shard| self.nodes.node_of(shard));
            let retry_after = retry_after(node, self.now);
            Action::Reject {
                request: id,
                retry_after,
            }
        } else {
            Action::Fail(id)
        };
        self.actions.push(action);
        self.close_unserved(id);
    }

    /// Cancels the attempts of a request whose client is gone, if allowed, and closes the request.
    pub(super) fn on_client_disconnected(&mut self, id: RequestId) {
        if self.settings.cancellation_allowed {
            self.cancel_attempts(id);
        }
        self.close_unserved(id);
    }

    /// Requests the cancellation of all attempts in flight.
    fn cancel_attempts(&mut self, id: RequestId) {
        let Some(pending) = self.requests.get(&id) else {
            return;
        };
        for attempt in pending.in_flight() {
            self.actions.push(Action::Cancel {
                request: id,
                attempt: attempt.number,
            });
        }
    }

    /// Closes a request of which no attempt is known to have been served; keeps its objective in
    /// case the client sends it again.
    pub(super) fn close_unserved(&mut self, id: RequestId) {
        let Some(pending) = self.requests.get(&id) else {
            return;
        };
        if pending.is_open() {
            self.objectives.record_unserved(pending, self.now);
        }
        self.close(id);
    }

    /// Closes a request, if it is open, and removes it from its queue without service.
    fn close(&mut self, id: RequestId) {
        self.unroutable.remove(&id);
        let Some(pending) = self.requests.get_mut(&id) else {
            return;
        };
        let queue = pending
            .dequeue()
            .and_then(|shard| self.queues.get_mut(shard));
        if let Some(queue) = queue {
            let request = pending.request();
            queue.remove(request, &self.volumes[request.volume]);
        }
        pending.close();
        self.rejections.remove(pending);
        self.remove_if_finished(id);
    }

    /// Removes a request that is closed and has no attempt in flight; the next one of its key may
    /// then run.
    fn remove_if_finished(&mut self, id: RequestId) {
        let Some(pending) = self.requests.get(&id) else {
            return;
        };
        if !pending.is_finished() {
            return;
        }
        let key = pending.ordering_key();
        self.requests.remove(&id);
        if let Some(key) = key {
            let next = self.sequences.remove(key, id, self.now);
            self.enqueue_first_of_key(next);
        }
    }
}

/// What an attempt shows of its node.
fn measurement(
    pending: &PendingRequest,
    attempt: Attempt,
    completed: &CompletedAttempt,
) -> Measurement {
    Measurement {
        outcome: completed.outcome,
        elapsed: completed.elapsed,
        dispatched_at: attempt.dispatched_at,
        relative_latency: pending.relative_latency(),
        latency_objective: pending.class().latency_objective,
    }
}
