//! Choice of the node for a new object.

use super::{slow_start::warming_up_since, Scheduler};
use crate::{api::Shard, state::PendingRequest};

/// Error rate from which a node gets no new objects.
const MAX_ERROR_RATE: f64 = 0.25;

/// What speaks against a node, the first before the second.
#[derive(Clone, Copy, PartialEq, PartialOrd)]
struct Cost {
    is_impaired: bool,
    expected_wait: f64,
}

impl Scheduler {
    /// The shard whose node is likely to respond soonest; nodes that look faulty or that warm up only where
    /// there is no other.
    pub(super) fn choose_shard(&self, pending: &PendingRequest) -> Option<Shard> {
        let latencies = self.nodes.in_service().filter_map(|node| node.health.latency.mean);
        let mean_latency = latencies.clone().sum::<f64>() / latencies.count().max(1) as f64;
        let mut best: Option<(Cost, Shard)> = None;
        for (shard, queue) in &self.queues {
            let Some(node) = self.node_of(*shard) else { continue };
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
