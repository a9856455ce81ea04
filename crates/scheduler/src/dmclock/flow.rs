//! The requests of one volume that wait at one shard, in the order of their dispatch, with their
//! tags.
//!
//! Decided: the place of a new request within its flow (requests of a higher priority weight first,
//! then the earlier ones), and the service that its tags account for: what the volume has got at
//! all nodes and hosts since its last request here, and at least the request's own units.

use super::tags::{ServiceCount, Tags};
use crate::api::{RequestId, Units, UnitsPerSecond};
use crate::request::PendingRequest;
use crate::time::Seconds;
use crate::volume::Volume;
use std::collections::VecDeque;

/// A request in a flow.
pub struct QueuedRequest {
    /// Id of the request.
    pub id: RequestId,
    /// Its tags.
    pub tags: Tags,
    /// When it was queued.
    queued_at: Seconds,
    /// Priority weight of its class.
    priority_weight: f64,
    /// Service that its tags account for.
    service: ServiceCount,
}

/// Where a request is inserted into its flow.
#[derive(Clone, Copy, PartialEq)]
pub enum Position {
    /// Before all that wait now, whatever its priority weight. A request that is inserted by
    /// priority later may still go before it.
    Front,
    /// Behind those of the same priority weight, in a queue that is ordered by weight but for those
    /// at its front.
    ByPriority,
}

/// A volume's queue at one shard.
pub struct Flow {
    /// The requests in the order of their dispatch.
    queue: VecDeque<QueuedRequest>,
    /// Tags of the request dispatched last.
    last_tags: Tags,
    /// The volume's service that the tags of this flow account for.
    counted_units: Units,
    /// When a request was last tagged here.
    tagged_at: Seconds,
}

impl Flow {
    /// An empty flow, whose tags account for all service of the volume so far.
    pub fn new(served_units: Units, now: Seconds) -> Self {
        Flow {
            queue: VecDeque::new(),
            last_tags: Tags::MIN,
            counted_units: served_units,
            tagged_at: now,
        }
    }

    /// The request that is dispatched next.
    pub fn head(&self) -> Option<&QueuedRequest> {
        self.queue.front()
    }

    /// Whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.queue.is_empty()
    }

    /// The requests in the order of their dispatch.
    pub fn requests(&self) -> impl Iterator<Item = RequestId> + '_ {
        self.queue.iter().map(|queued| queued.id)
    }

    /// Share tag of the request dispatched last.
    pub fn last_share_tag(&self) -> Seconds {
        self.last_tags.share
    }

    /// Adds a request.
    pub fn insert(
        &mut self,
        pending: &PendingRequest,
        position: Position,
        volume: &Volume,
        share_tag_offset: Seconds,
        now: Seconds,
    ) {
        let added = QueuedRequest {
            id: pending.request().id,
            tags: self.last_tags,
            queued_at: now,
            priority_weight: pending.class().priority_weight,
            service: self.count_service(pending.request().units, volume, now),
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

    /// Removes a request that is not dispatched, if it waits here; the tags of those behind it no
    /// longer count its service.
    pub fn remove(&mut self, id: RequestId, volume: &Volume, share_tag_offset: Seconds) {
        let Some(index) = self.queue.iter().position(|queued| queued.id == id) else {
            return;
        };
        if let Some(removed) = self.queue.remove(index) {
            self.counted_units -= removed.service.delta;
        }
        self.retag(index, volume, share_tag_offset);
    }

    /// Removes the head for its dispatch.
    pub fn pop_head(&mut self) {
        let head = self
            .queue
            .pop_front()
            .expect("invariant: the request selected is the head of its flow");
        self.last_tags = head.tags;
    }

    /// Sets the reservation tags back by a request that was dispatched in the weight phase, as its
    /// service does not count towards the reservation.
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

    /// Takes units off those that the tags account for, as an attempt was not served.
    pub fn subtract_unserved(&mut self, units: Units) {
        self.counted_units -= units;
    }

    /// The service not counted yet, and at least the request's units; rho only as far as it is
    /// reserved.
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

    /// Recomputes the tags from an index on, each from those of the request before it.
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
