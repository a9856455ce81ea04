//! Completed attempts, and the single final response of each request.

use super::{retry::client_may_retry, Scheduler};
use crate::api::{Action, CompletedAttempt, Micros, Outcome, RequestId};
use crate::state::{Attempt, RepeatKey};

/// A request that a client sends again is recognized for this long after the first latency objective.
const REPEAT_WINDOW: Micros = 1_000_000;

impl Scheduler {
    /// Records how an attempt ended, then closes, retries or rejects its request.
    pub(super) fn on_attempt_completed(&mut self, completed: &CompletedAttempt) {
        let (id, outcome) = (completed.request, completed.outcome);
        let Some(pending) = self.state.requests.get_mut(&id) else { return };
        let Some(attempt) = pending.take_attempt(completed.number) else { return };
        if !matches!(outcome, Outcome::Overloaded | Outcome::ConnectFailed | Outcome::NotDispatched) {
            pending.first_executed.get_or_insert(attempt);
        }
        let needs_attempt = pending.open && pending.in_flight.is_empty();
        let may_be_executing = matches!(outcome, Outcome::TimedOut | Outcome::Reset | Outcome::Cancelled);
        let sequence = pending.request.key.and_then(|key| self.state.sequences.get_mut(&key));
        if let Some(sequence) = sequence.filter(|_| may_be_executing) {
            sequence.quiesced_until = sequence.quiesced_until.max(self.now + self.settings.quiesce_period);
        }
        self.record_attempt(attempt, completed);
        if outcome == Outcome::Served {
            self.close(id);
        } else if completed.request_closed {
            self.close_unserved(id);
        } else if needs_attempt {
            self.retry_or_reject(id, attempt.node, outcome);
        } else {
            self.remove_if_over(id);
        }
    }

    /// Updates the usage of the volume and the health of the node after an attempt.
    fn record_attempt(&mut self, attempt: Attempt, completed: &CompletedAttempt) {
        let Some(pending) = self.state.requests.get(&completed.request) else { return };
        let request = &pending.request;
        let is_served = completed.outcome == Outcome::Served;
        let served_units = if is_served { request.units } else { 0.0 };
        if let Some(volume) = self.state.volumes.get_mut(&request.volume) {
            volume.record_usage(served_units, completed, 2 * self.settings.usage_report_period, self.now);
        }
        let Some(node) = self.state.nodes.get_mut(&attempt.node) else { return };
        node.remove_attempt(request.units);
        node.health.record(pending, completed, self.now);
        node.health.adjust_limit(attempt, completed, pending.class.latency_objective, self.now);
        let queue = self.state.queues.get_mut(&node.endpoint.shard).filter(|_| !is_served);
        if let Some(flow) = queue.and_then(|queue| queue.flows.get_mut(&request.volume)) {
            flow.counted_units -= request.units;
        }
    }

    /// Rejects requests that were not dispatched within half of their time to the deadline, so that their
    /// clients have time to retry. One that a node may have executed is kept until its deadline.
    pub(super) fn reject_expired(&mut self) {
        while let Some(id) = self.state.rejections.pop_expired(self.now) {
            let Some(pending) = self.state.requests.get_mut(&id) else { continue };
            let deadline = pending.request.deadline;
            if pending.may_have_executed() && pending.reject_at < deadline {
                pending.reject_at = deadline;
                self.state.rejections.insert(deadline, id);
            } else {
                self.reject(id);
            }
        }
    }

    /// Gives an open request its final response: a rejection if the client may safely retry, else a failure.
    pub(super) fn reject(&mut self, id: RequestId) {
        let Some(pending) = self.state.requests.get(&id).filter(|pending| pending.open) else { return };
        self.actions.push(if client_may_retry(pending) {
            Action::Reject { request: id, retry_after: self.retry_after(pending) }
        } else {
            Action::Fail(id)
        });
        self.close_unserved(id);
    }

    /// Cancels the attempts of a request whose client is gone, if allowed, and closes the request.
    pub(super) fn on_client_disconnected(&mut self, id: RequestId) {
        if let Some(pending) = self.state.requests.get(&id).filter(|_| self.settings.cancellation_allowed) {
            let numbers = pending.in_flight.iter().map(|attempt| attempt.number);
            self.actions.extend(numbers.map(|attempt| Action::Cancel { request: id, attempt }));
        }
        self.close_unserved(id);
    }

    /// Closes a request before any attempt was served; keeps its objective in case the client sends it again.
    pub(super) fn close_unserved(&mut self, id: RequestId) {
        let pending = self.state.requests.get(&id).filter(|pending| pending.open);
        let key = pending.and_then(|pending| RepeatKey::of(&pending.request));
        if let (Some(pending), Some(key)) = (pending, key) {
            self.state.objectives.retain(|_, objective_at| *objective_at > self.now - REPEAT_WINDOW);
            self.state.objectives.insert(key, pending.objective_at);
        }
        self.close(id);
    }

    /// Closes a request, if it is open, and removes it from its queue without service.
    fn close(&mut self, id: RequestId) {
        self.state.unroutable.remove(&id);
        let Some(pending) = self.state.requests.get_mut(&id) else { return };
        if let Some(queue) = pending.queued_at.take().and_then(|shard| self.state.queues.get_mut(&shard)) {
            queue.remove(&pending.request, &self.state.volumes[&pending.request.volume]);
        }
        pending.open = false;
        self.state.rejections.remove(pending.reject_at, id);
        self.remove_if_over(id);
    }

    /// Removes a request that is closed and has no attempt in flight; the next one of its key may then run.
    fn remove_if_over(&mut self, id: RequestId) {
        let Some(pending) = self.state.requests.get(&id).filter(|pending| pending.is_over()) else { return };
        let key = pending.ordering_key();
        self.state.requests.remove(&id);
        if let Some(key) = key {
            self.leave_sequence(key, id);
        }
    }
}
