//! Accepts new requests, rejects them, or responds that they are invalid.
//!
//! A request with the client request id of an unfinished request, or of one that must not be
//! executed again, is an error of the client; the response is that it is invalid. A request that
//! would exceed the memory budget is rejected with Retry-After. All others are passed to the
//! scheduler.

use super::command::Command;
use super::state::Dispatcher;
use super::unfinished_request::UnfinishedRequest;
use crate::memory_budget::OVERLOADED_RETRY_AFTER;
use crate::storage_request::{InvalidRequest, ReplySlot, Response, StorageRequest};
use crate::timer_queue::{DispatcherTimer, TimerQueue};
use io_scheduler::{Event, Micros, Request, RequestId};

/// Time reserved for delivering the final response before the client times out, in microseconds. It
/// is longer than `OVERDUE_GRACE`, so that the response to an overdue request, sent by
/// `fail_overdue`, still reaches the client in time.
const RESPONSE_DELIVERY_MARGIN: Micros = 6_000;
/// The delivery margin is at most the client's timeout divided by this, so that a short timeout
/// leaves most of its time to the attempts. For timeouts below 12 ms (`OVERDUE_GRACE` times this),
/// the margin is shorter than `OVERDUE_GRACE`, so the response to an overdue request is sent too
/// late.
const DELIVERY_MARGIN_DIVISOR: Micros = 4;

impl Dispatcher {
    /// Accepts a request, rejects it, or responds that it is invalid. In each case, the final
    /// response is a [`Command::Respond`] in this turn of the event loop or a later one, unless the
    /// client disconnects first.
    pub fn submit(
        &mut self,
        request: StorageRequest,
        reply_slot: ReplySlot,
        now: Micros,
        timers: &mut TimerQueue,
    ) -> RequestId {
        let id = self.requests.allocate_id();
        if let Some(error) = self.check_client_request_id(&request, now) {
            // Not counted for the volume, see `VolumeCounters::received`.
            let response = Response::Invalid(error);
            self.commands.push(Command::Respond {
                reply_slot,
                response,
            });
            return id;
        }
        self.volume_counters.record_received(request.volume);
        if self.requests.has_capacity(&request) {
            self.accept(id, request, reply_slot, now, timers);
        } else {
            self.reject_over_memory_budget(&request, reply_slot);
        }
        id
    }

    /// Returns why the client request id of a request is invalid, if it is: it is that of an
    /// unfinished request, or of one that must not be executed again.
    fn check_client_request_id(
        &self,
        request: &StorageRequest,
        now: Micros,
    ) -> Option<InvalidRequest> {
        let id = &request.client_request_id;
        if self.requests.contains_client_request_id(id) {
            return Some(InvalidRequest::DuplicateClientRequestId);
        }
        if self.executed_requests.contains(id, now) {
            log::debug!("request {id}: refused, a request with this id may have run");
            return Some(InvalidRequest::RepeatedClientRequestId);
        }
        None
    }

    /// Adds a request to the unfinished ones, sets its timer and reports it to the scheduler.
    fn accept(
        &mut self,
        id: RequestId,
        request: StorageRequest,
        reply_slot: ReplySlot,
        now: Micros,
        timers: &mut TimerQueue,
    ) {
        let deadline = response_deadline(now, request.client_timeout);
        let scheduler_request = scheduler_request(id, &request, deadline);
        log::debug!(
            "request {}: received, class {}, response due in {} us",
            request.client_request_id,
            request.class.0,
            deadline - now
        );
        let unfinished = UnfinishedRequest::new(request, reply_slot, deadline);
        let timer = DispatcherTimer::RequestOverdue(id);
        timers.set(unfinished.overdue_at(), timer.into());
        self.events.push(Event::RequestReceived(scheduler_request));
        self.requests.insert(id, unfinished);
    }

    /// Rejects a request that would exceed the memory budget. The scheduler does not see it.
    fn reject_over_memory_budget(&mut self, request: &StorageRequest, reply_slot: ReplySlot) {
        let response = Response::Rejected {
            retry_after: OVERLOADED_RETRY_AFTER,
        };
        log::debug!(
            "request {}: rejected, the memory budget is exhausted",
            request.client_request_id
        );
        self.volume_counters
            .record_response(request.volume, request.units, &response);
        self.commands.push(Command::Respond {
            reply_slot,
            response,
        });
    }

    /// Counts a request that its connection rejected before it was submitted, because the input of
    /// the clients exceeded its limits.
    pub fn record_rejected(&mut self, request: &StorageRequest) {
        let response = Response::Rejected {
            retry_after: OVERLOADED_RETRY_AFTER,
        };
        self.volume_counters.record_received(request.volume);
        self.volume_counters
            .record_response(request.volume, request.units, &response);
    }
}

/// Returns the latest time to send the final response to a client that waits for `client_timeout`
/// after `now`.
fn response_deadline(now: Micros, client_timeout: Micros) -> Micros {
    let margin = RESPONSE_DELIVERY_MARGIN.min(client_timeout / DELIVERY_MARGIN_DIVISOR);
    now + (client_timeout - margin).max(0)
}

/// Converts a client's request to the scheduler's form.
fn scheduler_request(id: RequestId, request: &StorageRequest, deadline: Micros) -> Request {
    Request {
        id,
        volume: request.volume,
        plan: request.plan,
        class: request.class,
        key: Some(request.object),
        shard: request.shard,
        units: request.units,
        host_count: request.host_count,
        deadline,
    }
}
