//! The requests that wait for the node of one shard: a flow for each volume, and the late requests.
//!
//! Decided: how share tags are aligned when a volume becomes active after an idle time. dmClock
//! then moves the share tags of all other volumes to the current time, which here is one shift that
//! applies to all of them. Requests that can no longer meet their latency objective leave their
//! flow and wait by deadline.

use super::flow::{Flow, Position, QueuedRequest};
use super::phase::Phase;
use crate::api::{Request, RequestId, Units, UnitsPerSecond, VolumeId};
use crate::collections::DeadlineQueue;
use crate::request::PendingRequest;
use crate::time::Seconds;
use crate::volume::{Volume, VolumeTable};
use std::collections::BTreeMap;

/// The queue of one shard.
#[derive(Default)]
pub struct ShardQueue {
    /// Requests that can still meet their latency objective, by volume.
    flows: BTreeMap<VolumeId, Flow>,
    /// Requests that can no longer meet their latency objective, by their deadline.
    late: DeadlineQueue<RequestId>,
    /// Units of all queued requests, the late ones included.
    queued_units: Units,
    /// Offset between stored share tags and the time.
    share_tag_offset: Seconds,
}

impl ShardQueue {
    /// Queues a request and tags it.
    pub fn insert(
        &mut self,
        pending: &PendingRequest,
        position: Position,
        volume: &Volume,
        now: Seconds,
    ) {
        let request = pending.request();
        self.queued_units += request.units;
        let min_share_tag = self.min_share_tag();
        let flow = self
            .flows
            .entry(request.volume)
            .or_insert_with(|| Flow::new(volume.served_units(), now));
        if flow.is_empty() {
            let idle_share_tag = flow.last_share_tag().max(now + self.share_tag_offset);
            self.share_tag_offset = min_share_tag.unwrap_or(idle_share_tag) - now;
        }
        flow.insert(pending, position, volume, self.share_tag_offset, now);
    }

    /// The smallest share tag of the requests that can be dispatched next.
    fn min_share_tag(&self) -> Option<Seconds> {
        self.heads()
            .map(|(_, head)| head.tags.share)
            .reduce(Seconds::min)
    }

    /// Removes a request that is not dispatched.
    pub fn remove(&mut self, request: &Request, volume: &Volume) {
        self.queued_units -= request.units;
        self.late.remove(request.deadline, request.id);
        if let Some(flow) = self.flows.get_mut(&request.volume) {
            flow.remove(request.id, volume, self.share_tag_offset);
        }
    }

    /// Moves a request from its flow to the late requests.
    pub fn move_to_late(&mut self, request: &Request, volume: &Volume) {
        self.remove(request, volume);
        self.queued_units += request.units;
        self.late.insert(request.deadline, request.id);
    }

    /// Removes a request for its dispatch: a late one, or the head of its flow.
    pub fn remove_for_dispatch(
        &mut self,
        request: &Request,
        phase: Phase,
        reservation: UnitsPerSecond,
    ) {
        self.queued_units -= request.units;
        if self.late.remove(request.deadline, request.id) {
            return;
        }
        let flow = self
            .flows
            .get_mut(&request.volume)
            .expect("invariant: a queued request has a flow");
        flow.pop_head();
        if phase == Phase::Weight {
            flow.reduce_reservation_tags(request.units, reservation);
        }
    }

    /// Takes units off those that a volume's tags account for, as an attempt was not served.
    pub fn subtract_unserved(&mut self, volume: VolumeId, units: Units) {
        if let Some(flow) = self.flows.get_mut(&volume) {
            flow.subtract_unserved(units);
        }
    }

    /// The first request of each volume.
    pub fn heads(&self) -> impl Iterator<Item = (VolumeId, &QueuedRequest)> {
        self.flows
            .iter()
            .filter_map(|(volume, flow)| Some((*volume, flow.head()?)))
    }

    /// The requests at the front of each flow up to the first one that does not meet `condition`.
    pub fn leading_requests(&self, condition: impl Fn(RequestId) -> bool) -> Vec<RequestId> {
        let mut leading = Vec::new();
        for flow in self.flows.values() {
            leading.extend(flow.requests().take_while(|id| condition(*id)));
        }
        leading
    }

    /// The late requests, earliest deadline first.
    pub fn late_requests(&self) -> impl Iterator<Item = RequestId> + '_ {
        self.late.iter()
    }

    /// Rate at this shard that its volumes are provisioned for through this host.
    pub fn nominal_rate(&self, volumes: &VolumeTable) -> UnitsPerSecond {
        self.flows
            .keys()
            .filter_map(|volume| volumes.get(*volume))
            .map(Volume::rate_per_shard)
            .sum()
    }

    /// Units of all queued requests.
    pub fn queued_units(&self) -> Units {
        self.queued_units
    }

    /// Whether a request waits that is not late.
    pub fn has_on_time_requests(&self) -> bool {
        self.heads().next().is_some()
    }

    /// Whether a late request waits.
    pub fn has_late_requests(&self) -> bool {
        !self.late.is_empty()
    }

    /// Whether no request waits.
    pub fn is_empty(&self) -> bool {
        !self.has_on_time_requests() && !self.has_late_requests()
    }

    /// Whether it remembers tags of some volume.
    pub fn has_flows(&self) -> bool {
        !self.flows.is_empty()
    }

    /// Forgets the flows without requests whose volume was removed.
    pub fn remove_idle_flows(&mut self, volumes: &VolumeTable) {
        self.flows
            .retain(|volume, flow| !flow.is_empty() || volumes.contains(*volume));
    }
}
