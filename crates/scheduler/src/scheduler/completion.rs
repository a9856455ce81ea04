//! Handles the end of attempts and gives each request exactly one final response.
//!
//! A request is closed when one of its attempts is served or its response has started, when an
//! attempt fails and the request may not be retried, when the request is shed, or when it no longer
//! needs a response. Each of these cases calls `close`. A closed request is removed once it has no
//! attempt in flight.

use super::Scheduler;
use crate::api::{Action, CompletedAttempt, Micros, NodeId, Outcome, RequestId, Units};
use crate::dmclock::Position;
use crate::node::AttemptMeasurement;
use crate::request::{Attempt, UnfinishedRequest};
use crate::retry::idempotency::{client_may_retry, may_be_executing};
use crate::retry::retry_after::retry_after;

/// Maximum age of the previous usage report, in report periods. If the previous report is older,
/// the new one is ignored.
const MAX_REPORT_AGE_PERIODS: i64 = 2;

impl Scheduler {
    /// Records the outcome of an attempt, then closes the request or queues it for a retry. An open
    /// request with other attempts in flight stays open; a closed request is removed after its last
    /// attempt.
    pub(super) fn on_attempt_completed(&mut self, completed: &CompletedAttempt) {
        let id = completed.request;
        let outcome = completed.outcome;
        let Some(unfinished) = self.requests.get_mut(&id) else {
            return;
        };
        let may_have_executed = outcome.may_have_executed();
        let Some(attempt) = unfinished.complete_attempt(completed.number, may_have_executed) else {
            return;
        };
        let needs_attempt = unfinished.needs_attempt();
        if may_be_executing(outcome) {
            self.quiesce_key(id);
        }
        self.record_completed_attempt(attempt, completed);
        if outcome == Outcome::Served {
            self.close(id);
        } else if completed.response_not_needed {
            self.close_and_record_objective(id);
        } else if needs_attempt {
            self.retry_or_close(id, attempt.node, outcome);
        } else {
            self.remove_if_finished(id);
        }
    }

    /// Starts the quiesce period of the request's key, if the key has ordered requests
    /// (`request::key_ordering`). This also applies to a request of an unordered class, because
    /// ordered requests may have the same key.
    fn quiesce_key(&mut self, id: RequestId) {
        let key = self.requests[&id].request().key;
        if let Some(key) = key {
            let until = self.now + self.settings.quiesce_period;
            self.key_sequences.quiesce(key, until);
        }
    }

    /// Updates the state of the volume, the node and the flow after an attempt.
    fn record_completed_attempt(&mut self, attempt: Attempt, completed: &CompletedAttempt) {
        let unfinished = &self.requests[&completed.request];
        let request = unfinished.request();
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
        let measurement = measurement(unfinished, attempt, completed);
        node.complete_attempt(request.units, &measurement, self.now);
        if is_served {
            return;
        }
        if let Some(queue) = self.queues.get_mut(node.endpoint().shard) {
            queue.subtract_from_counted_units(request.volume, request.units);
        }
    }

    /// Queues a request for another attempt if that is allowed and safe; otherwise gives it its
    /// final response.
    fn retry_or_close(&mut self, id: RequestId, failed_node: NodeId, outcome: Outcome) {
        let unfinished = &self.requests[&id];
        let retry = self.retry_eligibility();
        if retry.may_requeue(unfinished, failed_node, outcome) {
            self.enqueue(id, Position::Front);
        } else {
            self.reject_or_fail(id);
        }
    }

    /// Gives the requests whose rejection time has passed their final response. For a request that
    /// a node may have executed, that time is first postponed to its deadline.
    pub(super) fn reject_or_fail_expired(&mut self) {
        while let Some(id) = self.rejections.pop_expired(self.now) {
            let Some(unfinished) = self.requests.get_mut(&id) else {
                continue;
            };
            if !self.rejections.postpone(unfinished) {
                self.reject_or_fail(id);
            }
        }
    }

    /// Limits the deadlines of all open requests to the answer deadline of the shutdown.
    pub(super) fn on_shutdown_requested(&mut self) {
        let longest_timeout = self.settings.longest_client_timeout;
        let answer_by = self.shutdown.request(longest_timeout, self.now);
        let open = self.requests.values().filter(|request| request.is_open());
        let open: Vec<RequestId> = open.map(|unfinished| unfinished.request().id).collect();
        for id in open {
            self.limit_deadline(id, answer_by);
        }
    }

    /// Limits the deadline of an open request. A queued request is removed from its queue before
    /// and queued again after that, because late requests are queued by deadline.
    fn limit_deadline(&mut self, id: RequestId, deadline: Micros) {
        let was_queued = self.dequeue(id);
        if let Some(unfinished) = self.requests.get_mut(&id) {
            self.rejections.remove(unfinished);
            unfinished.limit_deadline(deadline);
            self.rejections.add(unfinished);
        }
        if was_queued {
            self.enqueue(id, Position::ByPriority);
        }
    }

    /// Removes a request from its queue without counting its units as served. Returns whether it
    /// was queued.
    fn dequeue(&mut self, id: RequestId) -> bool {
        let Some(unfinished) = self.requests.get_mut(&id) else {
            return false;
        };
        let Some(shard) = unfinished.mark_dequeued() else {
            return false;
        };
        if let Some(queue) = self.queues.get_mut(shard) {
            let request = unfinished.request();
            queue.remove(request, &self.volumes[request.volume]);
        }
        true
    }

    /// Requests that the connections of clients are closed, once the answer deadline of the
    /// shutdown has passed.
    pub(super) fn close_clients_if_due(&mut self) {
        if self.shutdown.take_passed(self.now) {
            self.actions.push(Action::CloseClients);
        }
    }

    /// Gives an open request its final response: a rejection if the client can safely retry,
    /// otherwise a failure.
    fn reject_or_fail(&mut self, id: RequestId) {
        let Some(unfinished) = self.requests.get(&id) else {
            return;
        };
        if !unfinished.is_open() {
            return;
        }
        let action = if client_may_retry(unfinished) {
            let node = unfinished
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
        self.close_and_record_objective(id);
    }

    /// Closes a request that no longer needs a response, and cancels its attempts if the settings
    /// allow cancellation.
    pub(super) fn on_response_not_needed(&mut self, id: RequestId) {
        if self.settings.cancellation_allowed {
            self.cancel_attempts(id);
        }
        self.close_and_record_objective(id);
    }

    /// Requests the cancellation of all attempts of a request that are in flight.
    fn cancel_attempts(&mut self, id: RequestId) {
        let Some(unfinished) = self.requests.get(&id) else {
            return;
        };
        for attempt in unfinished.in_flight() {
            self.actions.push(Action::Cancel {
                request: id,
                attempt: attempt.number,
            });
        }
    }

    /// Closes a request without an attempt that is known to have been served. If it was open,
    /// records its latency objective, so that a resend by the client keeps the same objective.
    pub(super) fn close_and_record_objective(&mut self, id: RequestId) {
        let Some(unfinished) = self.requests.get(&id) else {
            return;
        };
        if unfinished.is_open() {
            self.objectives.record_for_repeat(unfinished, self.now);
        }
        self.close(id);
    }

    /// Closes a request if it is open. If it is queued, removes it from its queue without counting
    /// its units as served.
    fn close(&mut self, id: RequestId) {
        self.unroutable.remove(&id);
        self.dequeue(id);
        let Some(unfinished) = self.requests.get_mut(&id) else {
            return;
        };
        unfinished.close();
        self.rejections.remove(unfinished);
        self.remove_if_finished(id);
    }

    /// Removes a request that is closed and has no attempt in flight. The next request with the
    /// same key may then be queued.
    fn remove_if_finished(&mut self, id: RequestId) {
        let Some(unfinished) = self.requests.get(&id) else {
            return;
        };
        if !unfinished.is_finished() {
            return;
        }
        let key = unfinished.ordering_key();
        self.requests.remove(&id);
        if let Some(key) = key {
            let next = self.key_sequences.remove(key, id, self.now);
            self.enqueue_first_of_key(next);
        }
    }
}

/// Returns the data of a completed attempt that updates the statistics and limits of a node.
fn measurement(
    unfinished: &UnfinishedRequest,
    attempt: Attempt,
    completed: &CompletedAttempt,
) -> AttemptMeasurement {
    AttemptMeasurement {
        outcome: completed.outcome,
        elapsed: completed.elapsed,
        dispatched_at: attempt.dispatched_at,
        relative_latency: unfinished.relative_latency(),
        latency_objective: unfinished.class().latency_objective,
    }
}
