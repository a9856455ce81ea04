//! Which node takes a new object.
//!
//! A request for a new object names no shard; it may go to any node that may execute it. Inputs:
//! each node's faults and slow start, its latency (microseconds) and concurrency limit, and the
//! units of this host in flight at it and queued for it. Nodes that are faulty or warming up come
//! last; among the others, the one with the shortest expected wait is chosen.

use crate::api::{Micros, Shard, SlowStart};
use crate::dmclock::ShardQueues;
use crate::endpoints::NodeTable;
use crate::node::slow_start::warming_up_since;
use crate::node::Node;
use crate::request::PendingRequest;
use crate::retry::idempotency::may_execute_at;
use crate::time::Latency;

/// Lower bound of a latency in the expected wait, so that a node without samples is not free of
/// cost.
const MIN_LATENCY: Latency = Latency::ONE_MICROSECOND;

/// Cost of placing an object at a node; the fields are compared in their order.
#[derive(Clone, Copy, PartialEq, PartialOrd)]
struct PlacementCost {
    /// Whether the node is faulty or warming up.
    is_impaired: bool,
    /// Time to serve what this host has queued or in flight there, and the request.
    expected_wait: Latency,
}

/// The choice of a node at one moment.
pub struct Placement<'a> {
    /// The nodes to choose from.
    pub nodes: &'a NodeTable,
    /// What is queued for them.
    pub queues: &'a ShardQueues,
    /// The settings of slow start.
    pub slow_start: &'a SlowStart,
    /// The current time, in microseconds.
    pub now: Micros,
}

impl Placement<'_> {
    /// The shard whose node has the lowest cost among those that may execute the request.
    pub fn choose_shard(&self, pending: &PendingRequest) -> Option<Shard> {
        let mean_latency = self.mean_latency();
        let mut cheapest: Option<(PlacementCost, Shard)> = None;
        for (shard, node) in self.nodes.served_shards() {
            if !may_execute_at(pending, node, self.nodes, self.now) {
                continue;
            }
            let cost = self.cost(pending, shard, node, mean_latency);
            if cheapest.is_none_or(|(least, _)| cost < least) {
                cheapest = Some((cost, shard));
            }
        }
        cheapest.map(|(_, shard)| shard)
    }

    /// Cost of placing an object at a node; `mean_latency` stands in for a latency not known yet.
    fn cost(
        &self,
        pending: &PendingRequest,
        shard: Shard,
        node: &Node,
        mean_latency: Latency,
    ) -> PlacementCost {
        let is_warming_up = warming_up_since(node, self.slow_start, self.now).is_some();
        let latency = node.latency().mean().unwrap_or(mean_latency);
        let queued_units = self.queues[shard].queued_units();
        let units_ahead = node.in_flight_units() + queued_units + pending.request().units;
        let concurrency = node.concurrency_limit().get();
        PlacementCost {
            is_impaired: node.is_faulty() || is_warming_up,
            expected_wait: latency.max(MIN_LATENCY) * units_ahead.0 / concurrency,
        }
    }

    /// Mean latency of the nodes in service that have served an attempt; zero if there is none.
    fn mean_latency(&self) -> Latency {
        let latencies = self
            .nodes
            .in_service()
            .filter_map(|node| node.latency().mean());
        let count = latencies.clone().count().max(1);
        latencies.sum::<Latency>() / count as f64
    }
}
