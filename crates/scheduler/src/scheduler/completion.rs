//! Attempts that completed, and the one final response of each request.

use super::{retry::client_may_repeat, Scheduler};
use crate::api::{Action, CompletedAttempt, Micros, Outcome, Request, RequestId};
use crate::state::{Attempt, RepeatKey};

/// A client's repeat is recognized for this long after the latency objective.
const REPEAT_WINDOW: Micros = 1_000_000;

/// What a client's repeat has in common with the request before.
pub(super) fn repeat_key(request: &Request) -> Option<RepeatKey> {
    Some(RepeatKey { volume: request.volume, object: request.key?, class: request.class })
}

impl Scheduler {
    pub(super) fn on_attempt_completed(&mut self, completed: &CompletedAttempt) {
        let (id, outcome) = (completed.request, completed.outcome);
        let Some(pending) = self.state.requests.get_mut(&id) else { return };
        let Some(attempt) = pending.take_attempt(completed.number) else { return };
        if !matches!(outcome, Outcome::Overloaded | Outcome::ConnectFailed | Outcome::NotDispatched) {
            pending.first_executed.get_or_insert(attempt);
        }
        let awaits_attempt = pending.open && pending.in_flight.is_empty();
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
        } else if awaits_attempt {
            self.retry_or_reject(id, attempt.node, outcome);
        } else {
            self.settle(id);
        }
    }

    /// Counts an attempt that completed for its node and its volume.
    fn record_attempt(&mut self, attempt: Attempt, completed: &CompletedAttempt) {
        let Some(pending) = self.state.requests.get(&completed.request) else { return };
        let (request, now) = (&pending.request, self.now);
        let is_served = completed.outcome == Outcome::Served;
        let served_units = if is_served { request.units } else { 0.0 };
        if let Some(volume) = self.state.volumes.get_mut(&request.volume) {
            volume.record_usage(served_units, completed, 2 * self.settings.usage_report_period, now);
        }
        let Some(node) = self.state.nodes.get_mut(&attempt.node) else { return };
        node.in_flight = node.in_flight.saturating_sub(1);
        node.in_flight_units -= request.units;
        node.health.record(pending, attempt, completed, now);
        let queue = self.state.queues.get_mut(&node.endpoint.shard).filter(|_| !is_served);
        if let Some(flow) = queue.and_then(|queue| queue.flows.get_mut(&request.volume)) {
            flow.counted_units -= request.units;
        }
    }

    /// What is still not dispatched after half of its time has missed its objective: the client hears of it
    /// while it can still do something else, rather than wait for a slot that goes to timely work.
    pub(super) fn reject_expired(&mut self) {
        while let Some(id) = self.state.rejections.pop_expired(self.now) {
            let Some(pending) = self.state.requests.get_mut(&id) else { return };
            let deadline = pending.request.deadline;
            if pending.may_have_executed() && pending.reject_at < deadline {
                pending.reject_at = deadline;
                self.state.rejections.insert(deadline, id);
            } else {
                self.reject(id);
            }
        }
    }

    /// The final response of an open request: a rejection where a repeat does no harm, else a failure.
    pub(super) fn reject(&mut self, id: RequestId) {
        let Some(pending) = self.state.requests.get(&id).filter(|pending| pending.open) else { return };
        self.actions.push(if client_may_repeat(pending) {
            Action::Reject { request: id, retry_after: self.retry_after(pending) }
        } else {
            Action::Fail(id)
        });
        self.close_unserved(id);
    }

    /// Stops the attempts of a request that nobody waits for any more.
    pub(super) fn on_client_disconnected(&mut self, id: RequestId) {
        if let Some(pending) = self.state.requests.get(&id).filter(|_| self.settings.cancellation_allowed) {
            let numbers = pending.in_flight.iter().map(|attempt| attempt.number);
            self.actions.extend(numbers.map(|attempt| Action::Cancel { request: id, attempt }));
        }
        self.close_unserved(id);
    }

    /// Closes a request that was not served; a repeat by its client will be recognized.
    pub(super) fn close_unserved(&mut self, id: RequestId) {
        let pending = self.state.requests.get(&id).filter(|pending| pending.open);
        let key = pending.and_then(|pending| repeat_key(&pending.request));
        if let (Some(pending), Some(key)) = (pending, key) {
            self.state.objectives.retain(|_, objective_at| *objective_at > self.now - REPEAT_WINDOW);
            self.state.objectives.insert(key, pending.objective_at);
        }
        self.close(id);
    }

    /// Closes a request that may be open, and takes it out of its queue without service.
    fn close(&mut self, id: RequestId) {
        self.state.unroutable.remove(&id);
        let Some(pending) = self.state.requests.get_mut(&id) else { return };
        if let Some(queue) = pending.queued_at.take().and_then(|shard| self.state.queues.get_mut(&shard)) {
            queue.remove(&pending.request, &self.state.volumes[&pending.request.volume]);
        }
        pending.open = false;
        self.state.rejections.remove(pending.reject_at, id);
        self.settle(id);
    }

    /// Forgets a request that is closed and has no attempt in flight; the next of its key may go.
    fn settle(&mut self, id: RequestId) {
        let Some(pending) = self.state.requests.get(&id).filter(|pending| pending.is_over()) else { return };
        let key = pending.request.key.filter(|_| pending.class.ordered);
        self.state.requests.remove(&id);
        if let Some(key) = key {
            self.leave_sequence(key, id);
        }
    }
}
