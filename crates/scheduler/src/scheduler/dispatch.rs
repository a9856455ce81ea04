//! Which request is dispatched next, and to which node.

use super::slow_start::{warming_up_since, SURPLUS_QUOTA};
use super::Scheduler;
use crate::api::{Action, Micros, NodeId, RequestId, Shard};
use crate::node_health::MAX_IN_FLIGHT;
use crate::state::{Node, PendingRequest, Phase, Position, Seconds};

/// Seconds by which a volume's nominal tag runs ahead when it takes more than its share.
const SURPLUS_LEAD: Seconds = 1.0;

/// A request that may be dispatched; the one with the least tag of the first phase is.
struct Candidate {
    request: RequestId,
    phase: Phase,
    tag: Seconds,
}

impl Scheduler {
    /// Queues an open request for the node of its shard.
    pub(super) fn enqueue(&mut self, id: RequestId, position: Position) {
        let now = self.now_seconds();
        let Some(pending) = self.requests.get(id).filter(|pending| pending.is_waiting()) else { return };
        let Some(shard) = pending.request.shard.or_else(|| self.choose_shard(pending)) else {
            self.requests.unroutable.insert(id);
            return;
        };
        let volume = &self.volumes[&pending.request.volume];
        self.queues.entry(shard).or_default().insert(pending, position, volume, now);
        self.backlogged.insert(shard);
        self.requests.get_mut(id).expect("invariant: checked above").queued_at = Some(shard);
    }

    /// Takes a request out of its queue without service.
    pub(super) fn dequeue(&mut self, id: RequestId) {
        self.requests.unroutable.remove(&id);
        let Some(pending) = self.requests.get_mut(id) else { return };
        if let Some(queue) = pending.queued_at.take().and_then(|shard| self.queues.get_mut(&shard)) {
            queue.remove(&pending.request, &self.volumes[&pending.request.volume]);
        }
    }

    /// Dispatches from a shard's queue for as long as its node takes requests.
    pub(super) fn dispatch_from(&mut self, shard: Shard) {
        self.set_late_aside(shard);
        while let Some(node) = self.node_of(shard) {
            let node_id = node.endpoint.node;
            let is_trial = node.health.is_ejected() && !self.most_are_ejected();
            let max_in_flight = if is_trial { 1 } else { MAX_IN_FLIGHT };
            if node.in_flight >= max_in_flight || node.health.paused_until > self.now {
                return;
            }
            let Some(selected) = self.select_next(shard, node) else { return };
            self.dispatch(&selected, node_id);
            if let Some(node) = self.nodes.get_mut(node_id).filter(|_| is_trial) {
                node.health.start_half_open_interval(self.now);
            }
        }
    }

    /// When most nodes look like outliers, the fault is likely not theirs: then none is treated as ejected.
    fn most_are_ejected(&self) -> bool {
        let ejected = self.nodes.in_service().filter(|node| node.health.is_ejected()).count();
        2 * ejected > self.nodes.in_service().count()
    }

    /// Moves requests at the front of their flows that can't meet their objective any more to the late ones.
    fn set_late_aside(&mut self, shard: Shard) {
        let Some(node) = self.node_of(shard) else { return };
        let (latency, now) = (node.health.expected_latency(self.now), self.now);
        let completes_at = |p: &PendingRequest| now + (latency * p.relative_latency) as Micros;
        let Some(queue) = self.queues.get_mut(&shard) else { return };
        let mut late = Vec::new();
        for flow in queue.flows.values() {
            let queued = flow.queue.iter().filter_map(|queued| self.requests.get(queued.id));
            late.extend(queued.take_while(|pending| completes_at(pending) > pending.objective_at));
        }
        for pending in late {
            queue.set_aside(&pending.request, &self.volumes[&pending.request.volume]);
        }
    }

    /// Due reservation tags go first, then the least share tag whose limit tag is due, then late requests.
    fn select_next(&self, shard: Shard, node: &Node) -> Option<Candidate> {
        let (queue, now) = (&self.queues[&shard], self.now_seconds());
        let has_capacity = |value| node.health.has_capacity(node.in_flight, value, self.now);
        let mut best: Option<Candidate> = None;
        for (volume, head) in queue.heads() {
            let plan = &self.volumes[&volume].plan;
            let is_reserved = plan.reservation > 0.0 && head.tags.reservation <= now;
            let is_surplus = head.tags.nominal > now + SURPLUS_LEAD;
            let quota_part = if is_surplus && !is_reserved { SURPLUS_QUOTA } else { 1.0 };
            if !self.may_dispatch(head.id, quota_part, node) {
                continue;
            }
            // A burst lets the limit tag run ahead; both are split evenly over the volume's hosts.
            let is_within_limit =
                plan.limit <= 0.0 || head.tags.limit <= now + plan.burst_capacity / plan.limit;
            let (share, surplus) = (self.settings.within_share_value, self.settings.surplus_value);
            let (phase, tag) = if is_reserved && has_capacity(1.0) {
                (Phase::Reservation, head.tags.reservation)
            } else if is_within_limit && has_capacity(if is_surplus { surplus } else { share }) {
                (Phase::Weight, head.tags.share)
            } else {
                continue;
            };
            if best.as_ref().is_none_or(|best| (phase, tag) < (best.phase, best.tag)) {
                best = Some(Candidate { request: head.id, phase, tag });
            }
        }
        if best.is_some() || !node.health.is_idle(node.in_flight) {
            return best;
        }
        // Late requests earn little: they go only where they take nothing from others.
        let request = queue.late.iter().find(|id| self.may_dispatch(*id, SURPLUS_QUOTA, node))?;
        Some(Candidate { request, phase: Phase::Late, tag: f64::MAX })
    }

    /// Whether the rules of the deployment let a request go to a node now.
    fn may_dispatch(&self, id: RequestId, quota_part: f64, node: &Node) -> bool {
        let Some(pending) = self.requests.get(id) else { return false };
        let request = &pending.request;
        if !pending.open || !node.is_in_service() || request.deadline <= self.now {
            return false;
        }
        let is_allowed = match pending.attempts {
            0 => self.volumes[&request.volume].has_tokens(request.units, self.now),
            _ => self.may_retry_at(pending, node),
        };
        is_allowed && self.slow_start_admits(request.units, quota_part, node)
    }

    /// Starts an attempt of the request selected.
    fn dispatch(&mut self, selected: &Candidate, node_id: NodeId) {
        let (now, id) = (self.now, selected.request);
        let pending = self.requests.get_mut(id).expect("invariant: queued requests are pending");
        let request = &pending.request;
        let volume = self.volumes.get_mut(&request.volume).expect("invariant: volumes of requests are kept");
        let node = self.nodes.get_mut(node_id).expect("invariant: the node of a shard is listed");
        let shard = pending.queued_at.take().expect("invariant: the request selected is queued");
        let queue = self.queues.get_mut(&shard).expect("invariant: the queue of a request exists");
        queue.take(request, selected.phase, volume.plan.reservation);
        if pending.attempts == 0 {
            volume.spend_tokens(request.units, now);
        } else {
            self.retry_history.record_retry(now);
        }
        node.add_attempt(request.units);
        let slow_start = &self.settings.slow_start;
        if warming_up_since(node, slow_start, now).is_some() {
            node.health.slow_start_units.record(request.units, slow_start.window, now);
        }
        let deadline = node.health.attempt_deadline(pending, now).min(request.deadline);
        pending.start_attempt(node_id, now);
        self.actions.push(Action::Dispatch { request: id, node: node_id, deadline });
    }
}
