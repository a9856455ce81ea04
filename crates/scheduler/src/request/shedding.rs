//! When a request that waits is given up (load shedding).
//!
//! Input: the request's deadline, in microseconds. After a fraction of its time to the deadline a
//! request is rejected, so that its client has time to retry, unless a node may have executed it or
//! may be executing it: then it is kept until its deadline, whatever its idempotency.
//! So a request that was dispatched, but that no node took, is rejected as well.

use super::PendingRequest;
use crate::api::{Micros, RequestId};
use crate::collections::DeadlineQueue;

/// A request may wait for its time to the deadline divided by this.
const MAX_QUEUE_TIME_DIVISOR: i64 = 2;

/// When a request that is received now is rejected, if no node may have executed it by then.
pub fn reject_at(deadline: Micros, now: Micros) -> Micros {
    let time_left = (deadline - now).max(0);
    now + time_left / MAX_QUEUE_TIME_DIVISOR
}

/// Open requests by the time at which they are rejected.
#[derive(Default)]
pub struct RejectionTimes {
    /// The requests by that time.
    times: DeadlineQueue<RequestId>,
}

impl RejectionTimes {
    /// Adds a request.
    pub fn add(&mut self, pending: &PendingRequest) {
        self.times.insert(pending.reject_at(), pending.request().id);
    }

    /// Removes a request.
    pub fn remove(&mut self, pending: &PendingRequest) {
        self.times.remove(pending.reject_at(), pending.request().id);
    }

    /// Removes and returns a request whose time has come.
    pub fn pop_expired(&mut self, now: Micros) -> Option<RequestId> {
        self.times.pop_expired(now)
    }

    /// Keeps a request that a node may have executed until its deadline; returns whether it is
    /// kept. Called when its time has come.
    pub fn postpone(&mut self, pending: &mut PendingRequest) -> bool {
        let deadline = pending.request().deadline;
        if !pending.may_have_executed() || pending.reject_at() >= deadline {
            return false;
        }
        pending.postpone_rejection(deadline);
        self.add(pending);
        true
    }

    /// The earliest time at which a request is rejected.
    pub fn next(&self) -> Option<Micros> {
        self.times.next_deadline()
    }
}
