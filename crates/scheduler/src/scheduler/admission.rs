//! Admission to nodes that warm up (slow start), and the choice of the node for a new object.

use super::Scheduler;
use crate::api::{Micros, Shard, SlowStart};
use crate::hash::{scatter, unit_hash};
use crate::state::{Node, PendingRequest, Volume};

/// Factor on the provisioned rates in a host's slow-start quota, as volumes use their hosts unevenly.
const UNEVEN_USE_FACTOR: f64 = 1.25;
/// Error rate above which a node gets new objects only if there is no other.
const MAX_ERROR_RATE: f64 = 0.25;

/// Cost of placing an object at a node: faulty or warming-up nodes come last, then the longest wait.
#[derive(Clone, Copy, PartialEq, PartialOrd)]
struct Cost {
    is_impaired: bool,
    expected_wait_micros: f64,
}

/// When a node's process started, if that was so recently that it lacks its full capacity.
pub(super) fn warming_up_since(node: &Node, slow_start: &SlowStart, now: Micros) -> Option<Micros> {
    node.endpoint.started_at.filter(|started_at| now - started_at < slow_start.duration)
}

impl Scheduler {
    /// Whether slow start allows a dispatch to a node; the request may use `quota_part` of this host's quota.
    /// A quota can be smaller than one request: a random number per window then admits it now and then.
    pub(super) fn slow_start_admits(&self, units: f64, quota_part: f64, node: &Node) -> bool {
        let slow_start = &self.settings.slow_start;
        let Some(started_at) = warming_up_since(node, slow_start, self.now) else { return true };
        let age = ((self.now - started_at - slow_start.window) as f64 / slow_start.duration as f64).max(0.0);
        let capacity = slow_start.initial_capacity + (1.0 - slow_start.initial_capacity) * age;
        let node_quota = slow_start.units * capacity / slow_start.initial_capacity.max(1e-9);
        let quota = quota_part * self.slow_start_quota(node, capacity, node_quota);
        let dispatched: f64 = node.health.slow_start_units.within(slow_start.window, self.now).sum();
        let window = (self.now / slow_start.window.max(1)) as u64;
        let draw = window ^ scatter(node.endpoint.node.0);
        let random_part = units * unit_hash(self.seed ^ scatter(draw));
        let is_within_quota = quota + random_part - dispatched >= units;
        is_within_quota && (dispatched <= 0.0 || node_quota - dispatched >= units)
    }

    /// This host's part of `node_quota`, the units that a node at this capacity can take within a window. It
    /// follows the provisioned rates of the node's volumes; the fewer hosts there are, the more it is even.
    fn slow_start_quota(&self, node: &Node, capacity: f64, node_quota: f64) -> f64 {
        let slow_start = &self.settings.slow_start;
        let flows = self.state.queues[&node.endpoint.shard].flows.keys();
        let volumes = flows.filter_map(|id| self.state.volumes.get(id));
        let nominal_rate: f64 = volumes.map(Volume::rate_at_shard).sum();
        let nominal_units = nominal_rate * slow_start.window as f64 / 1e6;
        let rate_quota = UNEVEN_USE_FACTOR * nominal_units * slow_start.burst_factor * capacity;
        let rate_quota = rate_quota.min(node_quota);
        let hosts = f64::from(self.settings.hosts.max(1));
        rate_quota + (node_quota / hosts - rate_quota) / hosts.sqrt()
    }

    /// The shard whose node has the lowest cost among those that may execute the request.
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
            let expected_wait_micros = latency * units_ahead / health.concurrency_limit;
            let cost = Cost { is_impaired: is_faulty || is_warming_up, expected_wait_micros };
            if best.is_none_or(|(least, _)| cost < least) {
                best = Some((cost, *shard));
            }
        }
        best.map(|(_, shard)| shard)
    }
}
