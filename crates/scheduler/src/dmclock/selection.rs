//! Which request of a shard is dispatched next.
//!
//! Inputs: the tags at the head of each flow, the current time on their axis (seconds), the node's
//! concurrency limit, and whether limit, retry rules and slow start admit a request. The phases
//! follow the dmClock paper:
//!
//! 1. constraint-based: the earliest reservation tag that is due;
//! 2. weight-based: the smallest share tag among the volumes within their limits.
//!
//! A third phase comes after them: a request that can no longer meet its latency objective has
//! little value and goes only to an idle node, earliest deadline first. While the concurrency limit
//! is reduced, requests of less value need more of it, so that hosts leave a busy node to reserved
//! work without coordination.

use super::flow::QueuedRequest;
use super::phase::Phase;
use super::shard_queue::ShardQueue;
use crate::api::{Micros, RequestId, Settings, VolumeId};
use crate::node::slow_start::QuotaPart;
use crate::node::Node;
use crate::time::Seconds;
use crate::volume::VolumeTable;

/// Relative value of reserved work.
const RESERVED_VALUE: f64 = 1.0;
/// A volume whose nominal tag is ahead of the time by more than this exceeds its provisioned rate.
const SURPLUS_THRESHOLD: Seconds = Seconds(1.0);

/// The request to be dispatched next.
pub struct Selected {
    /// Id of the request.
    pub request: RequestId,
    /// The phase in which it was selected.
    pub phase: Phase,
}

/// The rules for a dispatch besides dmClock's order and the concurrency limit.
pub trait Admission {
    /// Whether these rules let a request be dispatched now; it may use `quota_part` of this host's
    /// slow-start quota.
    fn admits(&self, request: RequestId, quota_part: QuotaPart) -> bool;
}

/// The selection from the queue of one shard for the node that holds it.
pub struct Selection<'a, A> {
    /// The queue that is selected from.
    pub queue: &'a ShardQueue,
    /// The volumes of its requests.
    pub volumes: &'a VolumeTable,
    /// The node that holds the shard.
    pub node: &'a Node,
    /// Settings of the deployment.
    pub settings: &'a Settings,
    /// The rules besides order and concurrency limit.
    pub admission: A,
    /// The current time, in microseconds.
    pub now: Micros,
    /// The current time on the tags' axis.
    pub tag_time: Seconds,
}

impl<A: Admission> Selection<'_, A> {
    /// Selects the next request; `None` if none may be dispatched now.
    pub fn next(&self) -> Option<Selected> {
        self.by_reservation()
            .or_else(|| self.by_weight())
            .or_else(|| self.by_deadline())
    }

    /// The constraint-based phase.
    fn by_reservation(&self) -> Option<Selected> {
        if !self.node.has_capacity(RESERVED_VALUE, self.now) {
            return None;
        }
        let due = self
            .queue
            .heads()
            .filter(|(volume, head)| self.has_due_reservation(*volume, head))
            .filter(|(_, head)| self.admission.admits(head.id, QuotaPart::Full))
            .map(|(_, head)| (head.id, head.tags.reservation));
        Some(Selected {
            request: min_by_tag(due)?,
            phase: Phase::Reservation,
        })
    }

    /// The weight-based phase.
    fn by_weight(&self) -> Option<Selected> {
        let eligible = self
            .queue
            .heads()
            .filter(|(volume, head)| self.limit_tag_is_due(*volume, head))
            .filter(|(_, head)| self.node.has_capacity(self.value(head), self.now))
            .filter(|(volume, head)| {
                let quota_part = self.quota_part(*volume, head);
                self.admission.admits(head.id, quota_part)
            })
            .map(|(_, head)| (head.id, head.tags.share));
        Some(Selected {
            request: min_by_tag(eligible)?,
            phase: Phase::Weight,
        })
    }

    /// The phase of late requests.
    fn by_deadline(&self) -> Option<Selected> {
        if !self.node.is_idle_at_full_limit() {
            return None;
        }
        let request = self
            .queue
            .late_requests()
            .find(|id| self.admission.admits(*id, QuotaPart::Surplus))?;
        Some(Selected {
            request,
            phase: Phase::Late,
        })
    }

    /// Whether the volume has a reservation and the request's tag for it is due.
    fn has_due_reservation(&self, volume: VolumeId, head: &QueuedRequest) -> bool {
        let reservation = self.volumes[volume].plan().reservation;
        reservation.is_positive() && head.tags.reservation <= self.tag_time
    }

    /// Whether the volume has no limit, or the request's tag for it is due. The tag may run ahead
    /// by a whole burst; rate and burst are split evenly over the hosts, so that their ratio is
    /// that of the plan. The tag spreads a volume's service over its shards by the service of all
    /// of them; the token bucket (`volume::token_bucket`) bounds what this host sends to all shards
    /// together.
    fn limit_tag_is_due(&self, volume: VolumeId, head: &QueuedRequest) -> bool {
        let plan = self.volumes[volume].plan();
        if !plan.limit.is_positive() {
            return true;
        }
        head.tags.limit <= self.tag_time + plan.burst_capacity / plan.limit
    }

    /// Whether the volume uses more than it is provisioned for.
    fn is_surplus(&self, head: &QueuedRequest) -> bool {
        head.tags.nominal > self.tag_time + SURPLUS_THRESHOLD
    }

    /// Value of a request in the weight-based phase, relative to reserved work.
    fn value(&self, head: &QueuedRequest) -> f64 {
        if self.is_surplus(head) {
            self.settings.surplus_value
        } else {
            self.settings.within_share_value
        }
    }

    /// Part of this host's slow-start quota that a request may use.
    fn quota_part(&self, volume: VolumeId, head: &QueuedRequest) -> QuotaPart {
        if self.is_surplus(head) && !self.has_due_reservation(volume, head) {
            QuotaPart::Surplus
        } else {
            QuotaPart::Full
        }
    }
}

/// The request with the smallest tag; of several, the first.
fn min_by_tag(requests: impl Iterator<Item = (RequestId, Seconds)>) -> Option<RequestId> {
    let mut smallest: Option<(RequestId, Seconds)> = None;
    for (request, tag) in requests {
        if smallest.is_none_or(|(_, least)| tag < least) {
            smallest = Some((request, tag));
        }
    }
    smallest.map(|(request, _)| request)
}
