//! Why a queued request may not be dispatched to a node now, apart from dmClock's order.
//!
//! Each reason has a predicate: the volume's token bucket is empty, the retry rules forbid a
//! further attempt, or the node warms up and the quota of slow start is used up. The request then
//! waits; it is not rejected here. Whether the node's concurrency limit and pauses allow a dispatch
//! is decided elsewhere (`dispatch`, `dmclock::selection`). A queued request is open and before its
//! deadline, since expired ones are rejected first, and the node that holds a shard is in service.

use super::Scheduler;
use crate::api::RequestId;
use crate::dmclock::{Admission, ShardQueue};
use crate::node::slow_start::{warming_up_since, QuotaPart, SlowStartLimiter};
use crate::node::Node;
use crate::request::PendingRequest;

/// The admission of requests of one queue to the node that holds its shard.
pub(super) struct DispatchAdmission<'a> {
    /// The scheduler, whose state the rules read.
    pub(super) scheduler: &'a Scheduler,
    /// The queue of the requests.
    pub(super) queue: &'a ShardQueue,
    /// The node that holds the shard of the queue.
    pub(super) node: &'a Node,
}

impl Admission for DispatchAdmission<'_> {
    fn admits(&self, request: RequestId, quota_part: QuotaPart) -> bool {
        let Some(pending) = self.scheduler.requests.get(&request) else {
            return false;
        };
        self.attempt_is_allowed(pending) && self.slow_start_admits(pending, quota_part)
    }
}

impl DispatchAdmission<'_> {
    /// Whether the limit of the volume allows a first attempt, or the retry rules a further one.
    /// Only first attempts count against the limit.
    fn attempt_is_allowed(&self, pending: &PendingRequest) -> bool {
        if pending.attempts() == 0 {
            self.has_tokens(pending)
        } else {
            self.scheduler
                .retry_eligibility()
                .may_retry_at(pending, self.node)
        }
    }

    /// Whether the token bucket of the volume holds the units of the request.
    fn has_tokens(&self, pending: &PendingRequest) -> bool {
        let request = pending.request();
        let volume = &self.scheduler.volumes[request.volume];
        volume.has_tokens(request.units, self.scheduler.now)
    }

    /// Whether the node has its full capacity, or the quota of slow start holds the units.
    fn slow_start_admits(&self, pending: &PendingRequest, quota_part: QuotaPart) -> bool {
        let Scheduler { settings, now, .. } = self.scheduler;
        let Some(started_at) = warming_up_since(self.node, &settings.slow_start, *now) else {
            return true;
        };
        let limiter = SlowStartLimiter {
            settings,
            seed: self.scheduler.seed,
            node: self.node,
            nominal_rate: self.queue.nominal_rate(&self.scheduler.volumes),
            now: *now,
        };
        limiter.admits(pending.request().units, quota_part, started_at)
    }
}
