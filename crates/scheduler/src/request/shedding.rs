//! Load shedding: rejects requests that have waited too long.
//!
//! A request is rejected after a fraction of the time to its deadline, so that its client has time
//! to retry. A request that a node may have executed or may be executing is kept until its
//! deadline, whatever its idempotency. A request that was dispatched but not executed by any node
//! is rejected like one that was never dispatched. Times are in microseconds.

use super::UnfinishedRequest;
use crate::api::{Micros, RequestId};
use crate::collections::TimeOrderedQueue;

/// A request is rejected once it has waited for the time from its receipt to its deadline, divided
/// by this.
const MAX_QUEUE_TIME_DIVISOR: i64 = 2;

/// Returns when a request that is received now is rejected, if no node may have executed it by
/// then.
pub fn reject_at(deadline: Micros, now: Micros) -> Micros {
    let time_left = (deadline - now).max(0);
    now + time_left / MAX_QUEUE_TIME_DIVISOR
}

/// Open requests, ordered by the time at which they are rejected.
#[derive(Default)]
pub struct RejectionTimes {
    /// Requests, by rejection time.
    times: TimeOrderedQueue<RequestId>,
}

impl RejectionTimes {
    /// Adds a request.
    pub fn add(&mut self, unfinished: &UnfinishedRequest) {
        self.times
            .insert(unfinished.reject_at(), unfinished.request().id);
    }

    /// Removes a request.
    pub fn remove(&mut self, unfinished: &UnfinishedRequest) {
        self.times
            .remove(unfinished.reject_at(), unfinished.request().id);
    }

    /// Removes and returns a request whose rejection time has passed.
    pub fn pop_expired(&mut self, now: Micros) -> Option<RequestId> {
        self.times.pop_expired(now)
    }

    /// Postpones the rejection of a request to its deadline if a node may have executed the
    /// request. Called when the rejection time has passed; returns whether the rejection was
    /// postponed.
    pub fn postpone(&mut self, unfinished: &mut UnfinishedRequest) -> bool {
        let deadline = unfinished.request().deadline;
        if !unfinished.may_have_effect() || unfinished.reject_at() >= deadline {
            return false;
        }
        unfinished.postpone_rejection(deadline);
        self.add(unfinished);
        true
    }

    /// Returns the earliest time at which a request is rejected.
    pub fn next(&self) -> Option<Micros> {
        self.times.next_time()
    }
}
