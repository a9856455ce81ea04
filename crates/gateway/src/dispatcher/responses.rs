//! Sends final responses and removes finished requests.

use super::command::Command;
use super::state::Dispatcher;
use super::unfinished_request::UnfinishedRequest;
use crate::storage_request::Response;
use crate::timer_queue::{DispatcherTimer, TimerQueue};
use io_scheduler::{Event, Micros, RequestId};

impl Dispatcher {
    /// Completes a request that the scheduler has failed. The client gets a timeout or a failure,
    /// see [`UnfinishedRequest::has_timed_out`].
    pub(super) fn fail(&mut self, id: RequestId, now: Micros, timers: &mut TimerQueue) {
        let timed_out = self
            .requests
            .get(id)
            .is_some_and(|request| request.has_timed_out(now));
        let response = if timed_out {
            Response::TimedOut
        } else {
            Response::Failed
        };
        self.respond_and_remove_if_finished(id, response, now, timers);
    }

    /// Responds with a timeout to a request that the scheduler has not completed by its deadline.
    /// Does nothing if no response is awaited.
    pub(super) fn fail_overdue(&mut self, id: RequestId) {
        let Some(unfinished) = self.requests.get(id) else {
            return;
        };
        if !unfinished.awaits_response() {
            return;
        }
        let client_request_id = &unfinished.storage_request().client_request_id;
        log::warn!(
            "request {client_request_id}: not completed by the scheduler before its deadline, \
             responding with a timeout"
        );
        self.respond(id, Response::TimedOut);
        // This event tells the scheduler that no response is needed any more, which ends the
        // request.
        self.events.push(Event::ResponseNotNeeded(id));
    }

    /// Sends the final response, and removes the request unless the result of an attempt is
    /// awaited.
    pub(super) fn respond_and_remove_if_finished(
        &mut self,
        id: RequestId,
        response: Response,
        now: Micros,
        timers: &mut TimerQueue,
    ) {
        self.respond(id, response);
        self.remove_if_finished(id, now, timers);
    }

    /// Sends the final response, unless it was already sent or the client has disconnected.
    pub(super) fn respond(&mut self, id: RequestId, response: Response) {
        let Some(unfinished) = self.requests.get_mut(id) else {
            return;
        };
        let Some(reply_slot) = unfinished.take_reply_slot() else {
            return;
        };
        let request = unfinished.storage_request();
        log::debug!(
            "request {}: final response {}",
            request.client_request_id,
            response.name()
        );
        self.volume_counters
            .record_response(request.volume, request.units, &response);
        self.commands.push(Command::Respond {
            reply_slot,
            response,
        });
    }

    /// Returns whether the client still waits for the final response. False for a request that was
    /// removed.
    pub(super) fn awaits_response(&self, id: RequestId) -> bool {
        self.requests
            .get(id)
            .is_some_and(UnfinishedRequest::awaits_response)
    }

    /// Removes a request that awaits neither a final response nor the result of an attempt, and
    /// cancels its timer. Remembers its id if it must not be executed again.
    pub(super) fn remove_if_finished(
        &mut self,
        id: RequestId,
        now: Micros,
        timers: &mut TimerQueue,
    ) {
        let Some(removed) = self.requests.remove_finished(id) else {
            return;
        };
        let timer = DispatcherTimer::RequestOverdue(id);
        timers.cancel(removed.overdue_at(), timer.into());
        let request = removed.storage_request();
        let is_idempotent = self.is_idempotent.get(request.class.0) == Some(&true);
        if removed.may_have_executed() && !is_idempotent {
            self.executed_requests
                .record(&request.client_request_id, now);
        }
    }
}
