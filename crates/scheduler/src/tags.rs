//! dmClock tags: how they are set when requests of a shard are queued, removed and dispatched.

use crate::api::Request;
use crate::state::{Flow, PendingRequest, Phase, Position, QueuedRequest, Seconds, ShardQueue, Volume};

impl ShardQueue {
    /// Queues a request and tags it. Within a flow, higher priority weights go first, then earlier requests.
    pub fn insert(&mut self, pending: &PendingRequest, position: Position, volume: &Volume, now: Seconds) {
        let request = &pending.request;
        self.queued_units += request.units;
        let least_share = self.heads().map(|(_, head)| head.tags.share).reduce(f64::min);
        let flow = self.flows.entry(request.volume).or_insert_with(|| Flow::new(volume.served_units, now));
        if flow.queue.is_empty() {
            // A volume that was idle: share tags shift so that the smallest of those queued equals now.
            let idle_share = flow.last_tags.share.max(now + self.share_shift);
            self.share_shift = least_share.unwrap_or(idle_share) - now;
        }
        let added = flow.count_units(pending, volume, now);
        let precedes = |queued: &QueuedRequest| queued.priority_weight >= added.priority_weight;
        let index = if position == Position::Front { 0 } else { flow.queue.partition_point(precedes) };
        flow.queue.insert(index, added);
        flow.retag(index, volume, self.share_shift);
    }

    /// Removes a request that is not dispatched; the tags of those behind it no longer count its units.
    pub fn remove(&mut self, request: &Request, volume: &Volume) {
        self.queued_units -= request.units;
        self.late.remove(request.deadline, request.id);
        let Some(flow) = self.flows.get_mut(&request.volume) else { return };
        let Some(index) = flow.queue.iter().position(|queued| queued.id == request.id) else { return };
        flow.counted_units -= flow.queue[index].delta;
        flow.queue.remove(index);
        flow.retag(index, volume, self.share_shift);
    }

    /// Moves a request from its flow to the late requests.
    pub fn set_aside(&mut self, request: &Request, volume: &Volume) {
        self.remove(request, volume);
        self.queued_units += request.units;
        self.late.insert(request.deadline, request.id);
    }

    /// Removes a request for its dispatch. Service in the weight phase does not count towards the
    /// reservation: the volume's reservation tags are set back by the request's units.
    pub fn take(&mut self, request: &Request, phase: Phase, reservation: f64) {
        self.queued_units -= request.units;
        if self.late.remove(request.deadline, request.id) {
            return;
        }
        let flow = self.flows.get_mut(&request.volume).expect("invariant: a queued request has a flow");
        let head = flow.queue.pop_front().expect("invariant: the request selected is the head of its flow");
        flow.last_tags = head.tags;
        if phase == Phase::Weight && reservation > 0.0 {
            let step = request.units / reservation;
            flow.last_tags.reservation -= step;
            flow.queue.iter_mut().for_each(|queued| queued.tags.reservation -= step);
        }
    }
}

impl Flow {
    /// Sets rho and delta to the service not counted yet (rho: as far as reserved), at least to the units.
    fn count_units(&mut self, pending: &PendingRequest, volume: &Volume, now: Seconds) -> QueuedRequest {
        let units = pending.request.units.max(0.0);
        let new_units = (volume.served_units - self.counted_units).max(0.0);
        let rho = new_units.min(volume.plan.reservation * (now - self.tagged_at)).max(units);
        let delta = new_units.max(units);
        self.counted_units += delta;
        self.tagged_at = now;
        let priority_weight = pending.class.priority_weight;
        let id = pending.request.id;
        QueuedRequest { id, tags: self.last_tags, queued_at: now, priority_weight, rho, delta }
    }

    /// Recomputes the tags from index `start` on, each from its predecessor; `shift` applies to share tags.
    fn retag(&mut self, start: usize, volume: &Volume, shift: Seconds) {
        let plan = &volume.plan;
        let weight = plan.weight.max(1e-9);
        let mut tags = if start == 0 { self.last_tags } else { self.queue[start - 1].tags };
        for queued in self.queue.iter_mut().skip(start) {
            let at = queued.queued_at;
            if plan.reservation > 0.0 {
                tags.reservation = (tags.reservation + queued.rho / plan.reservation).max(at);
            }
            if plan.limit > 0.0 {
                tags.limit = (tags.limit + queued.delta / (plan.limit / volume.hosts)).max(at);
            }
            tags.nominal = (tags.nominal + queued.delta / volume.nominal_rate()).max(at);
            let earliest_share = at - volume.idle_credit / weight + shift;
            tags.share = (tags.share + queued.delta / weight).max(earliest_share);
            queued.tags = tags;
        }
    }
}
