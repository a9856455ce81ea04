//! Queue of the requests of one volume at one shard, with their tags.
//!
//! Requests are ordered by priority weight, highest first, and then by the time at which they were
//! queued. The tags of a request count the service that the volume has received from all nodes and
//! hosts since its last request at this shard, and at least the request's own units.

use super::tags::{ServiceCount, Tags};
use crate::api::{RequestId, Units, UnitsPerSecond};
use crate::request::UnfinishedRequest;
use crate::time::Seconds;
use crate::volume::Volume;
use std::collections::VecDeque;

/// A queued request with its tags.
pub struct QueuedRequest {
    /// Id of the request.
    pub id: RequestId,
    /// Tags of the request.
    pub tags: Tags,
    /// Time at which the request was queued.
    queued_at: Seconds,
    /// Priority weight of the request's class.
    priority_weight: f64,
    /// Service by which its tags advance.
    service: ServiceCount,
}

/// Where a request is inserted into its flow.
#[derive(Clone, Copy, PartialEq)]
pub enum Position {
    /// Ahead of all requests that are queued now, whatever their priority weights. A request that
    /// is inserted by priority later may still be placed ahead of it.
    Front,
    /// Behind the requests with the same or a higher priority weight. The queue is ordered by
    /// weight, except for requests inserted at the front.
    ByPriority,
}

/// The queue of a volume at one shard.
pub struct Flow {
    /// Queued requests, in the order of their dispatch.
    queue: VecDeque<QueuedRequest>,
    /// Tags of the last dispatched request.
    last_tags: Tags,
    /// Service of the volume that the tags of this flow already count.
    counted_units: Units,
    /// Time at which a request was last added to this flow.
    tagged_at: Seconds,
}

impl Flow {
    /// Creates an empty flow. Its tags will not count the service of the volume before now.
    pub fn new(served_units: Units, now: Seconds) -> Self {
        Flow {
            queue: VecDeque::new(),
            last_tags: Tags::MIN,
            counted_units: served_units,
            tagged_at: now,
        }
    }

    /// Returns the request that is dispatched next.
    pub fn head(&self) -> Option<&QueuedRequest> {
        self.queue.front()
    }

    /// Returns whether no request is queued.
    pub fn is_empty(&self) -> bool {
        self.queue.is_empty()
    }

    /// Returns the requests in the order of their dispatch.
    pub fn requests(&self) -> impl Iterator<Item = RequestId> + '_ {
        self.queue.iter().map(|queued| queued.id)
    }

    /// Returns when a request was last added to this flow.
    pub fn tagged_at(&self) -> Seconds {
        self.tagged_at
    }

    /// Returns the share tag of the last dispatched request.
    pub fn last_share_tag(&self) -> Seconds {
        self.last_tags.share
    }

    /// Inserts a request and recomputes the tags of the requests behind it.
    pub fn insert(
        &mut self,
        unfinished: &UnfinishedRequest,
        position: Position,
        volume: &Volume,
        share_tag_offset: Seconds,
        now: Seconds,
    ) {
        let added = QueuedRequest {
            id: unfinished.request().id,
            tags: self.last_tags,
            queued_at: now,
            priority_weight: unfinished.class().priority_weight,
            service: self.count_service(unfinished.request().units, volume, now),
        };
        let index = match position {
            Position::Front => 0,
            Position::ByPriority => self
                .queue
                .partition_point(|queued| queued.priority_weight >= added.priority_weight),
        };
        self.queue.insert(index, added);
        self.retag(index, volume, share_tag_offset);
    }

    /// Removes a request without dispatching it, if it is queued here. The tags of the requests
    /// behind it no longer count its service.
    pub fn remove(&mut self, id: RequestId, volume: &Volume, share_tag_offset: Seconds) {
        let Some(index) = self.queue.iter().position(|queued| queued.id == id) else {
            return;
        };
        if let Some(removed) = self.queue.remove(index) {
            self.counted_units -= removed.service.delta;
        }
        self.retag(index, volume, share_tag_offset);
    }

    /// Removes the head of the flow in order to dispatch it.
    pub fn pop_head(&mut self) {
        let head = self
            .queue
            .pop_front()
            .expect("invariant: the selected request is the head of its flow");
        self.last_tags = head.tags;
    }

    /// Reduces the reservation tags by the units of a request that was dispatched in the
    /// weight-based phase, because its service does not count towards the reservation.
    pub fn reduce_reservation_tags(&mut self, units: Units, reservation: UnitsPerSecond) {
        if !reservation.is_positive() {
            return;
        }
        let step = units / reservation;
        self.last_tags.reservation -= step;
        for queued in &mut self.queue {
            queued.tags.reservation -= step;
        }
    }

    /// Subtracts the units of an attempt that was not served from the service that the tags have
    /// counted. They were counted when the request was queued, but are not part of the volume's
    /// service.
    pub fn subtract_from_counted_units(&mut self, units: Units) {
        self.counted_units -= units;
    }

    /// Returns the service by which the tags of a request advance, and marks it as counted. Delta
    /// is the service that the tags do not count yet. Rho is that service, but at most the units
    /// that the reserved rate provides since the last request was added. Both are at least the
    /// request's units.
    fn count_service(&mut self, units: Units, volume: &Volume, now: Seconds) -> ServiceCount {
        let units = units.max(Units::ZERO);
        let new_units = (volume.served_units() - self.counted_units).max(Units::ZERO);
        let reserved = volume.plan().reservation * (now - self.tagged_at);
        let rho = new_units.min(reserved).max(units);
        let delta = new_units.max(units);
        self.counted_units += delta;
        self.tagged_at = now;
        ServiceCount { rho, delta }
    }

    /// Recomputes the tags of the requests from index `start` on, each from the tags of the request
    /// ahead of it.
    fn retag(&mut self, start: usize, volume: &Volume, share_tag_offset: Seconds) {
        let mut tags = if start == 0 {
            self.last_tags
        } else {
            self.queue[start - 1].tags
        };
        for queued in self.queue.iter_mut().skip(start) {
            tags = tags.next(queued.service, queued.queued_at, volume, share_tag_offset);
            queued.tags = tags;
        }
    }
}
