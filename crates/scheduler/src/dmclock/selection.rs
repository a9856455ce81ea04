//! Selects the request of a shard that is dispatched next.
//!
//! The selection depends on the tags of the request at the head of each flow, the current time in
//! seconds since the scheduler started, and the node's concurrency limit. Requests that the
//! volume's limit, the retry rules or slow start do not admit are skipped. The first two phases
//! follow the dmClock paper:
//!
//! 1. Constraint-based phase: the request with the earliest reservation tag, if that tag is due.
//! 2. Weight-based phase: the request with the smallest share tag among the volumes within their
//!    limits.
//!
//! A third phase handles late requests, which can no longer meet their latency objective. They
//! are of little use to the client and are dispatched only to an idle node whose concurrency limit
//! is at its maximum, earliest deadline first.
//!
//! In the first two phases, each request has a value from 0 to 1. It states how much the units of
//! the request are worth compared with reserved units, and depends on the phase and on the volume's
//! usage:
//!
//! - A request that is selected by its reservation tag has the value 1.
//! - Another request has the value `provisioned_value` of the settings while its volume uses no
//!   more than its provisioned rate.
//! - Beyond the provisioned rate, the request is a surplus request and has the value
//!   `surplus_value` of the settings.
//!
//! While the concurrency limit is below its maximum, a request of lower value gets a lower limit.
//! Thus all hosts send a busy node fewer of the requests that no reservation covers, without
//! coordination.

use super::flow::QueuedRequest;
use super::phase::Phase;
use super::shard_queue::ShardQueue;
use crate::api::{Micros, RequestId, Settings, VolumeId};
use crate::node::slow_start::SlowStartQuotaPart;
use crate::node::Node;
use crate::time::Seconds;
use crate::volume::VolumeTable;

/// Value of a request that is selected by its reservation tag: its concurrency limit is not
/// lowered.
const RESERVED_VALUE: f64 = 1.0;
/// A volume exceeds its provisioned rate if the nominal tag of the request at the head of its flow
/// is ahead of the current time by more than this.
const SURPLUS_THRESHOLD: Seconds = Seconds(1.0);

/// The request to dispatch next.
pub struct Selected {
    /// Id of the request.
    pub request: RequestId,
    /// Phase in which the request was selected.
    pub phase: Phase,
}

/// Dispatch rules other than the dmClock order and the concurrency limit.
pub trait Admission {
    /// Returns whether these rules allow a request to be dispatched now. The request may use
    /// `quota_part` of this host's slow-start quota.
    fn admits(&self, request: RequestId, quota_part: SlowStartQuotaPart) -> bool;
}

/// Inputs for selecting the next request from the queue of one shard.
pub struct Selection<'a, A> {
    /// Queue from which a request is selected.
    pub queue: &'a ShardQueue,
    /// Volumes of the queued requests.
    pub volumes: &'a VolumeTable,
    /// The node that holds the shard.
    pub node: &'a Node,
    /// Settings of the deployment.
    pub settings: &'a Settings,
    /// Dispatch rules other than the dmClock order and the concurrency limit.
    pub admission: A,
    /// The current time, in microseconds.
    pub now: Micros,
    /// The current time in seconds since the scheduler started, as used by the tags.
    pub tag_time: Seconds,
}

impl<A: Admission> Selection<'_, A> {
    /// Selects the next request; returns `None` if no request may be dispatched now.
    pub fn next(&self) -> Option<Selected> {
        self.by_reservation()
            .or_else(|| self.by_weight())
            .or_else(|| self.by_deadline())
    }

    /// Constraint-based phase: selects the request with the earliest reservation tag that is due.
    fn by_reservation(&self) -> Option<Selected> {
        if !self.node.has_capacity(RESERVED_VALUE, self.now) {
            return None;
        }
        let due = self
            .queue
            .heads()
            .filter(|(volume, head)| self.has_due_reservation(*volume, head))
            .filter(|(_, head)| self.admission.admits(head.id, SlowStartQuotaPart::Full))
            .map(|(_, head)| (head.id, head.tags.reservation));
        Some(Selected {
            request: min_by_tag(due)?,
            phase: Phase::Reservation,
        })
    }

    /// Weight-based phase: selects the request with the smallest share tag among the volumes within
    /// their limits.
    fn by_weight(&self) -> Option<Selected> {
        let eligible = self
            .queue
            .heads()
            .filter(|(volume, head)| self.limit_tag_is_due(*volume, head))
            .filter(|(_, head)| self.node.has_capacity(self.request_value(head), self.now))
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

    /// Phase for late requests: selects the one with the earliest deadline, if the node is idle and
    /// its concurrency limit is at the maximum.
    fn by_deadline(&self) -> Option<Selected> {
        if !self.node.is_idle_at_maximum_limit() {
            return None;
        }
        let request = self
            .queue
            .late_requests()
            .find(|id| self.admission.admits(*id, SlowStartQuotaPart::Surplus))?;
        Some(Selected {
            request,
            phase: Phase::Late,
        })
    }

    /// Returns whether the volume has a reservation and the reservation tag of the request is due.
    fn has_due_reservation(&self, volume: VolumeId, head: &QueuedRequest) -> bool {
        let reservation = self.volumes[volume].plan().reservation;
        reservation.is_positive() && head.tags.reservation <= self.tag_time
    }

    /// Returns whether the volume has no limit, or the limit tag of the request is due.
    ///
    /// The tag may be ahead of the current time by a whole burst. Rate and burst are both divided
    /// evenly among the hosts, so their ratio is that of the plan. The limit tag counts the service
    /// of all shards of the volume and thereby spreads the volume's service over them. The token
    /// bucket (`volume::token_bucket`) bounds what this host sends to all shards together.
    fn limit_tag_is_due(&self, volume: VolumeId, head: &QueuedRequest) -> bool {
        let plan = self.volumes[volume].plan();
        if !plan.limit.is_positive() {
            return true;
        }
        head.tags.limit <= self.tag_time + plan.burst_capacity / plan.limit
    }

    /// Returns whether the volume uses more than its provisioned rate.
    fn exceeds_provisioned_rate(&self, head: &QueuedRequest) -> bool {
        head.tags.nominal > self.tag_time + SURPLUS_THRESHOLD
    }

    /// Returns the value, from 0 to 1, of a request in the weight-based phase.
    fn request_value(&self, head: &QueuedRequest) -> f64 {
        if self.exceeds_provisioned_rate(head) {
            self.settings.surplus_value
        } else {
            self.settings.provisioned_value
        }
    }

    /// Returns the part of this host's slow-start quota that a request may use.
    fn quota_part(&self, volume: VolumeId, head: &QueuedRequest) -> SlowStartQuotaPart {
        if self.exceeds_provisioned_rate(head) && !self.has_due_reservation(volume, head) {
            SlowStartQuotaPart::Surplus
        } else {
            SlowStartQuotaPart::Full
        }
    }
}

/// Returns the request with the smallest tag, or the first of several with the same tag.
fn min_by_tag(requests: impl Iterator<Item = (RequestId, Seconds)>) -> Option<RequestId> {
    let mut smallest: Option<(RequestId, Seconds)> = None;
    for (request, tag) in requests {
        if smallest.is_none_or(|(_, least)| tag < least) {
            smallest = Some((request, tag));
        }
    }
    smallest.map(|(request, _)| request)
}
