//! What a node takes while it warms up, and the choice of the node for a new object.

use super::Scheduler;
use crate::api::{Micros, Shard, SlowStart};
use crate::hash::{scatter, unit_hash};
use crate::state::{Node, PendingRequest, Volume};

/// A host's quota at a node that warms up goes by the rate its volumes there are provisioned for, times this
/// as they use their hosts unevenly; the fewer the hosts, the more of it is an even part.
const UNEVEN_USE_FACTOR: f64 = 1.25;
/// Part of the quota that is left for requests beyond a volume's share and for late ones.
pub(super) const SURPLUS_QUOTA: f64 = 0.5;

/// Error rate from which a node gets no new objects.
const MAX_ERROR_RATE: f64 = 0.25;

/// What speaks against a node, the first before the second.
#[derive(Clone, Copy, PartialEq, PartialOrd)]
struct Cost {
    is_impaired: bool,
    expected_wait: f64,
}

/// When a node's process started, if that was so recently that it lacks its full capacity.
pub(super) fn warming_up_since(node: &Node, slow_start: &SlowStart, now: Micros) -> Option<Micros> {
    node.endpoint.started_at.filter(|started_at| now - started_at < slow_start.duration)
}

impl Scheduler {
    /// Guards a node that warms up from all hosts together: each keeps to a quota of what the node can take
    /// for certain at its age, and a request to a part of that. With many hosts the quota may be less than
    /// one request, which then goes by a random number that the host draws anew for each window.
    pub(super) fn slow_start_admits(&self, units: f64, quota_part: f64, node: &Node) -> bool {
        let (slow_start, now) = (&self.settings.slow_start, self.now);
        let Some(started_at) = warming_up_since(node, slow_start, now) else { return true };
        let age = ((now - started_at - slow_start.window) as f64 / slow_start.duration as f64).max(0.0);
        let capacity = slow_start.initial_capacity + (1.0 - slow_start.initial_capacity) * age;
        let all_hosts = slow_start.units * capacity / slow_start.initial_capacity.max(1e-9);
        // Warm nodes do what their volumes are provisioned for; one that warms up, a multiple of its part.
        let flows = self.state.queues[&node.endpoint.shard].flows.keys();
        let nominal_rate: f64 =
            flows.filter_map(|id| self.state.volumes.get(id)).map(Volume::rate_at_shard).sum();
        let nominal_units = nominal_rate * slow_start.window as f64 / 1e6;
        let by_rate = (UNEVEN_USE_FACTOR * nominal_units * slow_start.burst_factor * capacity).min(all_hosts);
        let hosts = f64::from(self.settings.hosts.max(1));
        let quota = quota_part * (by_rate + (all_hosts / hosts - by_rate) / hosts.sqrt());
        let dispatched: f64 = node.health.slow_start_units.within(slow_start.window, now).sum();
        let window = (now / slow_start.window.max(1)) as u64;
        let draw = window ^ scatter(node.endpoint.node.0);
        let random_part = units * unit_hash(self.seed ^ scatter(draw));
        quota + random_part - dispatched >= units && (dispatched <= 0.0 || all_hosts - dispatched >= units)
    }

    /// The shard whose node is likely to respond soonest; nodes that look faulty or that warm up only where
    /// there is no other.
    pub(super) fn choose_shard(&self, pending: &PendingRequest) -> Option<Shard> {
        let latencies = self.state.nodes_in_service().filter_map(|node| node.health.latency.mean);
        let mean_latency = latencies.clone().sum::<f64>() / latencies.count().max(1) as f64;
        let mut best: Option<(Cost, Shard)> = None;
        for (shard, queue) in &self.state.queues {
            let Some(node) = self.state.node_of(*shard) else { continue };
            if !self.may_execute_at(pending, node) {
                continue;
            }
            let health = &node.health;
            let is_faulty = health.is_ejected() || health.error_rate > MAX_ERROR_RATE;
            let is_warming_up = warming_up_since(node, &self.settings.slow_start, self.now).is_some();
            let latency = health.latency.mean.unwrap_or(mean_latency).max(1.0);
            let units_ahead = node.in_flight_units + queue.queued_units + pending.request.units;
            let expected_wait = latency * units_ahead / health.concurrency_limit;
            let cost = Cost { is_impaired: is_faulty || is_warming_up, expected_wait };
            if best.is_none_or(|(least, _)| cost < least) {
                best = Some((cost, *shard));
            }
        }
        best.map(|(_, shard)| shard)
    }
}
