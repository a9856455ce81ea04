//! Chooses the node for a new object.
//!
//! A request for a new object names no shard, so every node in service that may safely execute the
//! request is a candidate. The choice depends on each node's faults and slow start, its latency
//! (microseconds) and concurrency limit, and the units that this host has in flight at the node or
//! queued for it.
//! Nodes that are faulty or warming up are used only if there is no other. Among the others, the
//! node with the shortest expected wait is chosen.

use crate::api::{Micros, Shard, SlowStart};
use crate::dmclock::ShardQueues;
use crate::endpoints::NodeTable;
use crate::node::slow_start::warming_up_since;
use crate::node::Node;
use crate::request::UnfinishedRequest;
use crate::retry::idempotency::may_execute_at;
use crate::time::Latency;

/// Lower bound of the latency used for the expected wait. Without it, a node whose latency is not
/// known would have no cost.
const MIN_LATENCY: Latency = Latency::ONE_MICROSECOND;

/// Cost of placing an object at a node. Costs are compared field by field, in the order of
/// declaration.
#[derive(Clone, Copy, PartialEq, PartialOrd)]
struct PlacementCost {
    /// Whether the node is faulty or warming up.
    is_impaired: bool,
    /// Measure of the expected wait: the node's latency times the units of the new request and of
    /// all requests that this host has queued for the node or in flight at it, divided by the
    /// concurrency limit. It is not a time and is only compared between nodes.
    expected_wait: Latency,
}

/// Inputs for choosing the node of a new object at one moment.
pub struct Placement<'a> {
    /// Nodes to choose from.
    pub nodes: &'a NodeTable,
    /// Requests queued for these nodes.
    pub queues: &'a ShardQueues,
    /// Slow-start settings.
    pub slow_start: &'a SlowStart,
    /// The current time, in microseconds.
    pub now: Micros,
}

impl Placement<'_> {
    /// Returns the shard whose node has the lowest cost among the nodes that may execute the
    /// request, or `None` if no node may.
    pub fn choose_shard(&self, unfinished: &UnfinishedRequest) -> Option<Shard> {
        let mean_latency = self.mean_latency();
        let mut cheapest: Option<(PlacementCost, Shard)> = None;
        for (shard, node) in self.nodes.served_shards() {
            if !may_execute_at(unfinished, node, self.nodes, self.now) {
                continue;
            }
            let cost = self.cost(unfinished, shard, node, mean_latency);
            if cheapest.is_none_or(|(least, _)| cost < least) {
                cheapest = Some((cost, shard));
            }
        }
        cheapest.map(|(_, shard)| shard)
    }

    /// Returns the cost of placing an object at a node. `mean_latency` is used if the node's
    /// latency is not known yet.
    fn cost(
        &self,
        unfinished: &UnfinishedRequest,
        shard: Shard,
        node: &Node,
        mean_latency: Latency,
    ) -> PlacementCost {
        let is_warming_up = warming_up_since(node, self.slow_start, self.now).is_some();
        let latency = node.latency().mean().unwrap_or(mean_latency);
        let queued_units = self.queues[shard].queued_units();
        let units_ahead = node.in_flight_units() + queued_units + unfinished.request().units;
        let concurrency = node.concurrency_limit().get();
        PlacementCost {
            is_impaired: node.is_faulty() || is_warming_up,
            expected_wait: latency.max(MIN_LATENCY) * units_ahead.0 / concurrency,
        }
    }

    /// Returns the mean latency of the nodes in service that have served at least one attempt, or
    /// zero if there are none.
    fn mean_latency(&self) -> Latency {
        let latencies = self
            .nodes
            .in_service()
            .filter_map(|node| node.latency().mean());
        let count = latencies.clone().count().max(1);
        latencies.sum::<Latency>() / count as f64
    }
}
