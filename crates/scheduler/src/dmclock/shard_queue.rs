//! Requests queued for the node of one shard: one flow per volume, and the late requests.
//!
//! When a volume becomes active after it was idle, dmClock moves the share tags of all other
//! volumes to the current time. This module implements that as a single offset that applies to all
//! share tags of the shard. Requests that can no longer meet their latency objective are moved from
//! their flow to the late requests, which are ordered by deadline.

use super::flow::{Flow, Position, QueuedRequest};
use super::phase::Phase;
use crate::api::{Request, RequestId, Units, UnitsPerSecond, VolumeId};
use crate::collections::TimeOrderedQueue;
use crate::request::UnfinishedRequest;
use crate::time::Seconds;
use crate::volume::{Volume, VolumeTable};
use std::collections::{BTreeMap, BTreeSet};

/// The queue of one shard.
#[derive(Default)]
pub struct ShardQueue {
    /// Requests that can still meet their latency objective, by volume.
    flows: BTreeMap<VolumeId, Flow>,
    /// The volumes whose flow has requests. Only these flows are visited at a dispatch, so that its
    /// cost does not depend on the number of volumes whose tags are stored.
    backlogged: BTreeSet<VolumeId>,
    /// Requests that can no longer meet their latency objective, ordered by deadline.
    late: TimeOrderedQueue<RequestId>,
    /// Units of all queued requests, the late ones included.
    queued_units: Units,
    /// Added to a time to get the share tag that corresponds to it; set again whenever a request is
    /// added to an empty flow.
    share_tag_offset: Seconds,
}

impl ShardQueue {
    /// Queues a request and computes its tags. Returns whether a flow was added for it.
    pub fn insert(
        &mut self,
        unfinished: &UnfinishedRequest,
        position: Position,
        volume: &Volume,
        now: Seconds,
    ) -> bool {
        let request = unfinished.request();
        self.queued_units += request.units;
        let min_share_tag = self.min_share_tag();
        let flows_before = self.flows.len();
        let flow = self
            .flows
            .entry(request.volume)
            .or_insert_with(|| Flow::new(volume.served_units(), now));
        if flow.is_empty() {
            let idle_share_tag = flow.last_share_tag().max(now + self.share_tag_offset);
            self.share_tag_offset = min_share_tag.unwrap_or(idle_share_tag) - now;
        }
        flow.insert(unfinished, position, volume, self.share_tag_offset, now);
        self.backlogged.insert(request.volume);
        self.flows.len() > flows_before
    }

    /// Returns the smallest share tag of the requests at the heads of the flows.
    fn min_share_tag(&self) -> Option<Seconds> {
        self.heads()
            .map(|(_, head)| head.tags.share)
            .reduce(Seconds::min)
    }

    /// Removes a request without dispatching it.
    pub fn remove(&mut self, request: &Request, volume: &Volume) {
        self.queued_units -= request.units;
        self.late.remove(request.deadline, request.id);
        if let Some(flow) = self.flows.get_mut(&request.volume) {
            flow.remove(request.id, volume, self.share_tag_offset);
            if flow.is_empty() {
                self.backlogged.remove(&request.volume);
            }
        }
    }

    /// Moves a request from its flow to the late requests.
    pub fn move_to_late(&mut self, request: &Request, volume: &Volume) {
        self.remove(request, volume);
        self.queued_units += request.units;
        self.late.insert(request.deadline, request.id);
    }

    /// Removes a request in order to dispatch it: a late request, or the head of its flow.
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
        if flow.is_empty() {
            self.backlogged.remove(&request.volume);
        }
        if phase == Phase::Weight {
            flow.reduce_reservation_tags(request.units, reservation);
        }
    }

    /// Subtracts the units of an attempt that was not served from the service that the volume's
    /// tags have counted.
    pub fn subtract_from_counted_units(&mut self, volume: VolumeId, units: Units) {
        if let Some(flow) = self.flows.get_mut(&volume) {
            flow.subtract_from_counted_units(units);
        }
    }

    /// Returns the head of each flow.
    pub fn heads(&self) -> impl Iterator<Item = (VolumeId, &QueuedRequest)> {
        self.backlogged_flows()
            .filter_map(|(volume, flow)| Some((volume, flow.head()?)))
    }

    /// Returns, for each flow, the requests from its head up to the first one that does not meet
    /// `condition`.
    pub fn requests_at_heads_while(&self, condition: impl Fn(RequestId) -> bool) -> Vec<RequestId> {
        let mut requests = Vec::new();
        for (_, flow) in self.backlogged_flows() {
            requests.extend(flow.requests().take_while(|id| condition(*id)));
        }
        requests
    }

    /// Returns the flows with requests, by volume.
    fn backlogged_flows(&self) -> impl Iterator<Item = (VolumeId, &Flow)> {
        self.backlogged
            .iter()
            .filter_map(|volume| Some((*volume, self.flows.get(volume)?)))
    }

    /// Returns the late requests, earliest deadline first.
    pub fn late_requests(&self) -> impl Iterator<Item = RequestId> + '_ {
        self.late.iter()
    }

    /// Returns the sum, over the volumes with a flow in this queue, of the volume's provisioned
    /// rate divided by the number of its hosts and by the number of its shards.
    pub fn provisioned_rate_of_host(&self, volumes: &VolumeTable) -> UnitsPerSecond {
        self.flows
            .keys()
            .filter_map(|volume| volumes.get(*volume))
            .map(Volume::rate_per_shard)
            .sum()
    }

    /// Returns the units of all queued requests.
    pub fn queued_units(&self) -> Units {
        self.queued_units
    }

    /// Returns whether a request is queued that can still meet its latency objective.
    pub fn has_on_time_requests(&self) -> bool {
        !self.backlogged.is_empty()
    }

    /// Returns whether a late request is queued.
    pub fn has_late_requests(&self) -> bool {
        !self.late.is_empty()
    }

    /// Returns whether no request is queued.
    pub fn is_empty(&self) -> bool {
        !self.has_on_time_requests() && !self.has_late_requests()
    }

    /// Returns the number of flows.
    pub fn flow_count(&self) -> usize {
        self.flows.len()
    }

    /// Returns the volumes of the flows without requests, with the time at which a request was last
    /// added to each.
    pub fn idle_flows(&self) -> impl Iterator<Item = (Seconds, VolumeId)> + '_ {
        let idle = self.flows.iter().filter(|(_, flow)| flow.is_empty());
        idle.map(|(volume, flow)| (flow.tagged_at(), *volume))
    }

    /// Removes the flow of a volume, which must have no requests.
    pub fn remove_flow(&mut self, volume: VolumeId) {
        self.flows.remove(&volume);
    }

    /// Returns whether the queue stores the tags of any volume.
    pub fn has_flows(&self) -> bool {
        !self.flows.is_empty()
    }

    /// Removes the flows that have no requests and whose volume was removed.
    pub fn remove_idle_flows(&mut self, volumes: &VolumeTable) {
        self.flows
            .retain(|volume, flow| !flow.is_empty() || volumes.contains(*volume));
    }
}
