//! The acceptance of requests. It decides two things: a client request id that is in flight is an
//! error of the client, and a request that the memory budget has no room for is rejected with
//! Retry-After.

use super::command::Command;
use super::in_flight_request::InFlightRequest;
use super::state::Dispatcher;
use crate::memory_budget::OVERLOADED_RETRY_AFTER;
use crate::storage_request::{InvalidRequest, ReplySlot, Response, StorageRequest};
use crate::timer_queue::{DispatcherTimer, TimerQueue};
use io_scheduler::{Event, Micros, Request, RequestId, Units};

/// Time reserved for the final response to reach the client before the client's timeout, in
/// microseconds; at most a quarter of that timeout.
const RESPONSE_DELIVERY_MARGIN: Micros = 6_000;

impl Dispatcher {
    /// Accepts a request. Its final response is a [`Command::Respond`] of this turn or a later
    /// one.
    pub fn submit(
        &mut self,
        request: StorageRequest,
        reply_slot: ReplySlot,
        now: Micros,
        timers: &mut TimerQueue,
    ) -> RequestId {
        let id = self.in_flight.allocate_id();
        if self
            .in_flight
            .contains_client_request_id(&request.client_request_id)
        {
            // It is not counted for its volume, see `VolumeCounters::received`.
            let response = Response::Invalid(InvalidRequest::DuplicateClientRequestId);
            self.commands.push(Command::Respond {
                reply_slot,
                response,
            });
            return id;
        }
        self.volume_counters.record_received(request.volume);
        if self.in_flight.has_capacity(request.body.len()) {
            self.accept(id, request, reply_slot, now, timers);
        } else {
            self.reject_for_lack_of_memory(&request, reply_slot);
        }
        id
    }

    /// Adds a request to those in flight and reports it to the scheduler.
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
        let in_flight = InFlightRequest::new(request, reply_slot, deadline);
        let timer = DispatcherTimer::RequestOverdue(id);
        timers.set(in_flight.overdue_at(), timer.into());
        self.events.push(Event::RequestReceived(scheduler_request));
        self.in_flight.insert(id, in_flight);
    }

    /// Rejects a request that the memory budget does not allow. The scheduler does not see it.
    fn reject_for_lack_of_memory(&mut self, request: &StorageRequest, reply_slot: ReplySlot) {
        let response = Response::Rejected {
            retry_after: OVERLOADED_RETRY_AFTER,
        };
        self.volume_counters
            .record_response(request.volume, request.units, &response);
        self.commands.push(Command::Respond {
            reply_slot,
            response,
        });
    }
}

/// The latest time to send the final response to a client that waits for `client_timeout` from
/// `now` on.
fn response_deadline(now: Micros, client_timeout: Micros) -> Micros {
    let margin = RESPONSE_DELIVERY_MARGIN.min(client_timeout / 4);
    now + (client_timeout - margin).max(0)
}

/// A client's request in the scheduler's form.
fn scheduler_request(id: RequestId, request: &StorageRequest, deadline: Micros) -> Request {
    Request {
        id,
        volume: request.volume,
        plan: request.plan,
        class: request.class,
        key: Some(request.object),
        shard: request.shard,
        units: Units(request.units),
        hosts: request.hosts,
        deadline,
    }
}
