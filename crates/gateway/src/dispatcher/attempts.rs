//! Starts and completes the attempts of requests.

use super::abort_cause::AbortCause;
use super::command::Command;
use super::state::Dispatcher;
use super::unfinished_request::AwaitedAttempt;
use crate::storage_request::{AttemptId, AttemptLimits, AttemptResult, Response};
use crate::timer_queue::{DispatcherTimer, TimerQueue};
use io_scheduler::{CompletedAttempt, Event, Micros, NodeId, Outcome, RequestId, Units};
use std::sync::Arc;

impl Dispatcher {
    /// Starts an attempt at a node, unless the request is already finished. The attempt is aborted
    /// if it has no result when it times out.
    pub(super) fn dispatch(
        &mut self,
        id: RequestId,
        node: NodeId,
        limits: AttemptLimits,
        now: Micros,
        timers: &mut TimerQueue,
    ) {
        let Some(unfinished) = self.requests.get_mut(id) else {
            return;
        };
        let times_out_at = limits.times_out_at;
        let number = unfinished.start_attempt(node, now, times_out_at);
        let request = Arc::clone(unfinished.storage_request());
        let attempt = AttemptId {
            request: id,
            number,
        };
        let timer = DispatcherTimer::AttemptTimeout(attempt);
        timers.set(times_out_at, timer.into());
        self.nodes.attempt_started(node);
        log::debug!(
            "request {}: attempt {number} dispatched to node {} ({}), times out in {} us",
            request.client_request_id,
            node.0,
            self.nodes.name(node),
            times_out_at - now
        );
        self.volume_counters.record_attempt(request.volume);
        self.commands.push(Command::StartAttempt {
            attempt,
            node,
            limits,
            request,
        });
    }

    /// Returns whether the attempt is in flight, so that its result is awaited.
    #[must_use]
    pub fn awaits_result_of(&self, attempt: AttemptId) -> bool {
        self.requests.attempt(attempt).is_some()
    }

    /// Records that enough of the request was written to the node for the node to have executed it.
    pub fn record_may_have_executed(&mut self, attempt: AttemptId) {
        if let Some(attempt) = self.requests.attempt_mut(attempt) {
            attempt.may_have_executed = true;
        }
    }

    /// Records the result of an attempt, responds to the client if the request was served, and
    /// reports the result to the scheduler. Ignores the result if it is not awaited.
    pub fn complete_attempt(
        &mut self,
        attempt: AttemptId,
        mut result: AttemptResult,
        now: Micros,
        timers: &mut TimerQueue,
    ) {
        let Some(unfinished) = self.requests.get_mut(attempt.request) else {
            return;
        };
        let Some(completed) = unfinished.remove_attempt(attempt.number, result.outcome) else {
            return;
        };
        let units = unfinished.storage_request().units;
        let timer = DispatcherTimer::AttemptTimeout(attempt);
        timers.cancel(completed.times_out_at, timer.into());
        let is_served = result.outcome == Outcome::Served;
        log::debug!(
            "request {}: attempt {} at node {} ended: {:?} after {} us",
            unfinished.storage_request().client_request_id,
            attempt.number,
            completed.node.0,
            result.outcome,
            now - completed.dispatched_at
        );
        let served_units = if is_served { units } else { Units::ZERO };
        self.nodes.attempt_completed(completed.node, served_units);
        if is_served {
            if let Some(body) = result.body.take() {
                self.respond(attempt.request, Response::Served(body));
            }
        }
        self.report_completed(attempt, &completed, &result, now);
        self.remove_if_finished(attempt.request, now, timers);
    }

    /// Reports the result of an attempt to the scheduler.
    fn report_completed(
        &mut self,
        id: AttemptId,
        attempt: &AwaitedAttempt,
        result: &AttemptResult,
        now: Micros,
    ) {
        self.events.push(Event::AttemptCompleted(CompletedAttempt {
            request: id.request,
            number: id.number,
            node: attempt.node,
            outcome: result.outcome,
            response_not_needed: !self.awaits_response(id.request),
            elapsed: now - attempt.dispatched_at,
            remote_units: result.remote_units,
            utilization: result.utilization,
        }));
    }

    /// Ends an attempt that has no result. The outcome that is reported to the scheduler depends on
    /// `cause` and on whether the node may have executed the request.
    ///
    /// Attempts that the scheduler cancels end here too, with [`AbortCause::Cancelled`]. For every
    /// cause, [`Command::AbandonAttempt`] frees the attempt's connection if it still has one.
    pub fn abort_attempt(
        &mut self,
        attempt: AttemptId,
        cause: AbortCause,
        now: Micros,
        timers: &mut TimerQueue,
    ) {
        let Some(awaited) = self.requests.attempt(attempt) else {
            return;
        };
        let outcome = cause.outcome(awaited.may_have_executed);
        log::debug!(
            "attempt {} of request number {}: aborted, {cause:?}",
            attempt.number,
            attempt.request.0
        );
        self.commands.push(Command::AbandonAttempt(attempt));
        self.complete_attempt(attempt, AttemptResult::without_body(outcome), now, timers);
    }

    /// Records that the client of a request has disconnected or no longer needs the response.
    /// Attempts that the node cannot have executed yet are aborted immediately. The scheduler
    /// decides about the others: those that it does not cancel run to completion, and their results
    /// are still reported to it.
    pub fn record_response_not_needed(
        &mut self,
        id: RequestId,
        now: Micros,
        timers: &mut TimerQueue,
    ) {
        let Some(unfinished) = self.requests.get_mut(id) else {
            return;
        };
        if unfinished.take_reply_slot().is_none() {
            return;
        }
        log::debug!(
            "request {}: the client no longer waits for a response",
            unfinished.storage_request().client_request_id
        );
        let unexecuted = unfinished.unexecuted_attempts();
        self.events.push(Event::ResponseNotNeeded(id));
        for number in unexecuted {
            let attempt = AttemptId {
                request: id,
                number,
            };
            self.abort_attempt(attempt, AbortCause::Cancelled, now, timers);
        }
    }
}
