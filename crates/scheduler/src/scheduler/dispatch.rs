//! Which request is dispatched next, and to which node.

use super::{admission::warming_up_since, Scheduler};
use crate::api::{Action, Micros, NodeId, RequestId, Shard};
use crate::node_health::MAX_IN_FLIGHT;
use crate::state::{Candidate, Node, PendingRequest, Phase, Position, Seconds};

/// A volume whose nominal tag is ahead of the time by more than this exceeds its provisioned rate.
const SURPLUS_LEAD: Seconds = 1.0;
/// Part of a slow-start quota that such surplus requests and late ones may use.
const SURPLUS_QUOTA: f64 = 0.5;

impl Scheduler {
    /// Queues an open request for the node of its shard; a new object's shard is chosen here.
    pub(super) fn enqueue(&mut self, id: RequestId, position: Position) {
        let now = self.now_seconds();
        let pending = self.state.requests.get(&id).filter(|pending| pending.is_waiting());
        let Some(pending) = pending else { return };
        let Some(shard) = pending.request.shard.or_else(|| self.choose_shard(pending)) else {
            self.state.unroutable.insert(id);
            return;
        };
        let volume = &self.state.volumes[&pending.request.volume];
        self.state.queues.entry(shard).or_default().insert(pending, position, volume, now);
        self.state.backlogged.insert(shard);
        self.state.requests.get_mut(&id).expect("invariant: checked above").queued_at = Some(shard);
    }

    /// Dispatches from a shard's queue for as long as its node takes requests.
    pub(super) fn dispatch_from(&mut self, shard: Shard) {
        self.set_late_requests_aside(shard);
        while let Some(node) = self.state.node_of(shard) {
            let node_id = node.endpoint.node;
            let is_trial = node.health.is_ejected() && !self.most_are_ejected();
            let max_in_flight = if is_trial { 1 } else { MAX_IN_FLIGHT };
            if node.in_flight >= max_in_flight || node.health.paused_until > self.now {
                return;
            }
            let Some(selected) = self.select_next(shard, node) else { return };
            self.dispatch(&selected, node_id);
            if let Some(node) = self.state.nodes.get_mut(&node_id).filter(|_| is_trial) {
                node.health.start_half_open_interval(self.now);
            }
        }
    }

    /// Whether most nodes are ejected: the fault is then likely not theirs, and none is treated as ejected.
    fn most_are_ejected(&self) -> bool {
        let ejected = self.state.nodes_in_service().filter(|node| node.health.is_ejected()).count();
        2 * ejected > self.state.nodes_in_service().count()
    }

    /// Moves requests at the head of flows that can no longer meet their objective to the late requests.
    fn set_late_requests_aside(&mut self, shard: Shard) {
        let Some(node) = self.state.node_of(shard) else { return };
        let now = self.now;
        let latency = node.health.expected_latency(now);
        let completes_at = |pending: &PendingRequest| now + (latency * pending.relative_latency) as Micros;
        let Some(queue) = self.state.queues.get_mut(&shard) else { return };
        let mut late = Vec::new();
        for flow in queue.flows.values() {
            let queued = flow.queue.iter().filter_map(|queued| self.state.requests.get(&queued.id));
            late.extend(queued.take_while(|pending| completes_at(pending) > pending.objective_at));
        }
        for pending in late {
            queue.set_aside(&pending.request, &self.state.volumes[&pending.request.volume]);
        }
    }

    /// Selects the earliest due reservation tag, else the smallest share tag of a flow within its limit, else
    /// the late request of the earliest deadline, but only at an idle node: it has little value.
    fn select_next(&self, shard: Shard, node: &Node) -> Option<Candidate> {
        let queue = &self.state.queues[&shard];
        let now = self.now_seconds();
        let has_capacity = |value| node.health.has_capacity(node.in_flight, value, self.now);
        let mut best: Option<Candidate> = None;
        for (volume, head) in queue.heads() {
            let (plan, tags) = (&self.state.volumes[&volume].plan, &head.tags);
            let is_reserved = plan.reservation > 0.0 && tags.reservation <= now;
            let is_surplus = tags.nominal > now + SURPLUS_LEAD;
            let quota_part = if is_surplus && !is_reserved { SURPLUS_QUOTA } else { 1.0 };
            if !self.may_dispatch(head.id, quota_part, node) {
                continue;
            }
            // A limit tag may run ahead by a whole burst; rate and burst are split evenly over the hosts.
            let is_within_limit = plan.limit <= 0.0 || tags.limit <= now + plan.burst_capacity / plan.limit;
            let settings = &self.settings;
            let value = if is_surplus { settings.surplus_value } else { settings.within_share_value };
            let (phase, tag) = if is_reserved && has_capacity(1.0) {
                (Phase::Reservation, tags.reservation)
            } else if is_within_limit && has_capacity(value) {
                (Phase::Weight, tags.share)
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
        let request = queue.late.iter().find(|id| self.may_dispatch(*id, SURPLUS_QUOTA, node))?;
        Some(Candidate { request, phase: Phase::Late, tag: f64::MAX })
    }

    /// Whether limit, retry rules and slow start allow the dispatch of a request to a node now.
    fn may_dispatch(&self, id: RequestId, quota_part: f64, node: &Node) -> bool {
        let Some(pending) = self.state.requests.get(&id) else { return false };
        let request = &pending.request;
        if !pending.open || !node.is_in_service() || request.deadline <= self.now {
            return false;
        }
        let is_allowed = match pending.attempts {
            0 => self.state.volumes[&request.volume].has_tokens(request.units, self.now),
            _ => self.may_retry_at(pending, node),
        };
        is_allowed && self.slow_start_admits(request.units, quota_part, node)
    }

    /// Starts an attempt of the selected request.
    fn dispatch(&mut self, selected: &Candidate, node_id: NodeId) {
        let (state, now) = (&mut self.state, self.now);
        let pending =
            state.requests.get_mut(&selected.request).expect("invariant: queued requests are pending");
        let request = &pending.request;
        let volume = state.volumes.get_mut(&request.volume).expect("invariant: volumes of requests are kept");
        let node = state.nodes.get_mut(&node_id).expect("invariant: the node of a shard is listed");
        let shard = pending.queued_at.take().expect("invariant: the request selected is queued");
        let queue = state.queues.get_mut(&shard).expect("invariant: the queue of a request exists");
        queue.take(request, selected.phase, volume.plan.reservation);
        if pending.attempts == 0 {
            volume.spend_tokens(request.units, now);
        } else if let Some(budget) = &self.settings.retry_budget {
            state.recent_retries.record((), budget.window, now);
        }
        node.add_attempt(request.units);
        let slow_start = &self.settings.slow_start;
        if warming_up_since(node, slow_start, now).is_some() {
            node.health.slow_start_units.record(request.units, slow_start.window, now);
        }
        let deadline = node.health.attempt_deadline(pending, now).min(request.deadline);
        pending.start_attempt(node_id, now);
        self.actions.push(Action::Dispatch { request: selected.request, node: node_id, deadline });
    }
}
