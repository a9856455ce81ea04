//! Checks the rules other than the dmClock order that decide whether a queued request may be
//! dispatched now.
//!
//! A first attempt is not admitted if the volume's token bucket holds too few units for the
//! request, and a further attempt if the retry rules forbid it. No attempt is admitted if the node
//! is warming up and its slow-start quota does not allow the request. A request that is not
//! admitted stays in the queue; it is not rejected here.
//!
//! The concurrency limit and the pauses of the node are checked elsewhere (`dispatch`,
//! `dmclock::selection`). Every queued request is open and before its deadline, because expired
//! requests are rejected first, and the node that holds a shard is in service.

use super::Scheduler;
use crate::api::RequestId;
use crate::dmclock::{Admission, ShardQueue};
use crate::node::slow_start::{warming_up_since, SlowStartLimiter, SlowStartQuotaPart};
use crate::node::Node;
use crate::request::UnfinishedRequest;

/// Admission check for the requests of one queue at the node that holds its shard.
pub(super) struct DispatchAdmission<'a> {
    /// Scheduler whose state is checked.
    pub(super) scheduler: &'a Scheduler,
    /// Queue that the requests are taken from.
    pub(super) queue: &'a ShardQueue,
    /// Node that holds the shard of the queue.
    pub(super) node: &'a Node,
}

impl Admission for DispatchAdmission<'_> {
    fn admits(&self, request: RequestId, quota_part: SlowStartQuotaPart) -> bool {
        let Some(unfinished) = self.scheduler.requests.get(&request) else {
            return false;
        };
        self.attempt_is_allowed(unfinished) && self.slow_start_admits(unfinished, quota_part)
    }
}

impl DispatchAdmission<'_> {
    /// Returns whether the volume's limit allows a first attempt, or the retry rules allow a
    /// further attempt. Only first attempts count against the limit.
    fn attempt_is_allowed(&self, unfinished: &UnfinishedRequest) -> bool {
        if unfinished.attempts() == 0 {
            self.has_tokens(unfinished)
        } else {
            self.scheduler
                .retry_eligibility()
                .may_retry_at(unfinished, self.node)
        }
    }

    /// Returns whether the volume's token bucket holds the units of the request, or the volume has
    /// no limit.
    fn has_tokens(&self, unfinished: &UnfinishedRequest) -> bool {
        let request = unfinished.request();
        let volume = &self.scheduler.volumes[request.volume];
        volume.has_tokens(request.units, self.scheduler.now)
    }

    /// Returns whether the node has its full capacity, or the slow-start quota has enough units
    /// left for the request.
    fn slow_start_admits(
        &self,
        unfinished: &UnfinishedRequest,
        quota_part: SlowStartQuotaPart,
    ) -> bool {
        let Scheduler { settings, now, .. } = self.scheduler;
        let Some(started_at) = warming_up_since(self.node, &settings.slow_start, *now) else {
            return true;
        };
        let limiter = SlowStartLimiter {
            settings,
            seed: self.scheduler.seed,
            node: self.node,
            provisioned_rate_of_host: self.queue.provisioned_rate_of_host(&self.scheduler.volumes),
            now: *now,
        };
        limiter.admits(unfinished.request().units, quota_part, started_at)
    }
}
