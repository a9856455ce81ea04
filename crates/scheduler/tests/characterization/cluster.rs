//! Model of the storage nodes: their endpoint list entries, their faults, and when and how attempts
//! at them end.

use crate::rng::Rng;
use crate::types::{AttemptOutcome, EndpointEntry, Micros, NodeStatus, MILLISECOND};
use std::collections::BTreeMap;

/// Nodes at the start of a run, and the probabilities with which attempts at healthy nodes fail.
/// Fields that end in `per_mille` are fractions, stated as a number per thousand.
#[derive(Clone)]
pub struct Cluster {
    /// Number of shards, each with one node at the start of the run.
    pub shard_count: u64,
    /// Number of zones over which the nodes are spread.
    pub zone_count: u64,
    /// Mean latency of a request of mean size at an idle node.
    pub idle_latency: Micros,
    /// Maximum number of attempts in flight at a node; further ones end as overloaded.
    pub max_attempts_in_flight: usize,
    /// Fraction of attempts whose response is lost, so that they time out.
    pub lost_per_mille: u64,
    /// Fraction of attempts whose connection is lost.
    pub reset_per_mille: u64,
    /// Fraction of attempts for which no connection can be established.
    pub connect_failed_per_mille: u64,
    /// Fraction of attempts that end with an error response.
    pub error_per_mille: u64,
    /// Fraction of attempts that end as cancelled although the scheduler did not cancel them.
    pub cancelled_per_mille: u64,
    /// Fraction of attempts that the host cannot send.
    pub not_dispatched_per_mille: u64,
    /// Whether the endpoint list gives start times for the nodes that exist at the start of the
    /// run.
    pub start_times_known: bool,
}

/// Fault of a node, which determines how attempts at it end.
#[derive(Clone, Copy, PartialEq)]
pub enum NodeFault {
    /// Attempts fail only with the probabilities of [`Cluster`].
    None,
    /// The latency is multiplied by this factor.
    Slow(Micros),
    /// All attempts time out.
    Unresponsive,
    /// No connection can be established.
    Unreachable,
    /// All connections are lost before a response.
    ResetsConnections,
    /// All responses are errors.
    ReturnsErrors,
    /// Half of the attempts, chosen at random, time out; the others end as at a healthy node.
    Lossy,
    /// All attempts end as overloaded.
    Overloaded,
}

/// A simulated node.
#[derive(Clone, Copy)]
pub struct SimulatedNode {
    /// Entry in the endpoint list.
    pub entry: EndpointEntry,
    /// Current fault.
    pub fault: NodeFault,
    /// Number of attempts in flight at the node.
    pub attempts_in_flight: usize,
}

/// Simulated nodes by id; removed nodes stay in the map.
pub type Nodes = BTreeMap<u64, SimulatedNode>;

/// When and how an attempt ends.
pub struct AttemptEnd {
    /// Time from the dispatch to the end.
    pub after: Micros,
    /// Outcome of the attempt.
    pub outcome: AttemptOutcome,
}

impl AttemptEnd {
    fn new(after: Micros, outcome: AttemptOutcome) -> Self {
        AttemptEnd { after, outcome }
    }
}

impl Cluster {
    /// Creates the nodes at the start of a run, one for each shard.
    pub fn initial_nodes(&self, now: Micros) -> Nodes {
        let mut nodes = Nodes::new();
        for id in 0..self.shard_count {
            let started_at = self
                .start_times_known
                .then(|| now - 700 * MILLISECOND * id as Micros);
            nodes.insert(
                id,
                SimulatedNode::new(id, id % self.zone_count, id, started_at),
            );
        }
        nodes
    }

    /// Chooses when and how an attempt that is dispatched to `node` now ends.
    pub fn attempt_end(
        &self,
        node: Option<&SimulatedNode>,
        relative_size: f64,
        time_left: Micros,
        rng: &mut Rng,
    ) -> AttemptEnd {
        let Some(node) = node else {
            return AttemptEnd::new(300, AttemptOutcome::ConnectFailed);
        };
        let latency = self.random_latency(node, relative_size, rng);
        let responds = rng.chance_per_mille(500);
        let random_failure = self.random_failure(latency, time_left, rng);
        let end_without_failure = if node.attempts_in_flight >= self.max_attempts_in_flight {
            AttemptEnd::new(MILLISECOND, AttemptOutcome::Overloaded)
        } else if latency > time_left {
            AttemptEnd::new(time_left, AttemptOutcome::TimedOut)
        } else {
            AttemptEnd::new(latency, AttemptOutcome::Served)
        };
        match node.fault {
            NodeFault::Unresponsive => AttemptEnd::new(time_left, AttemptOutcome::TimedOut),
            NodeFault::Unreachable => AttemptEnd::new(400, AttemptOutcome::ConnectFailed),
            NodeFault::ResetsConnections => AttemptEnd::new(2 * MILLISECOND, AttemptOutcome::Reset),
            NodeFault::ReturnsErrors => AttemptEnd::new(3 * MILLISECOND, AttemptOutcome::Error),
            NodeFault::Overloaded => AttemptEnd::new(MILLISECOND, AttemptOutcome::Overloaded),
            NodeFault::Lossy if !responds => AttemptEnd::new(time_left, AttemptOutcome::TimedOut),
            _ => random_failure.unwrap_or(end_without_failure),
        }
    }

    /// Chooses at random whether and how an attempt fails, with the cluster's probabilities; `None`
    /// if it does not fail.
    fn random_failure(
        &self,
        latency: Micros,
        time_left: Micros,
        rng: &mut Rng,
    ) -> Option<AttemptEnd> {
        let random_value = rng.below(1000);
        let mut bound = 0;
        let failures = [
            (
                self.lost_per_mille,
                AttemptEnd::new(time_left, AttemptOutcome::TimedOut),
            ),
            (
                self.reset_per_mille,
                AttemptEnd::new(latency / 2, AttemptOutcome::Reset),
            ),
            (
                self.connect_failed_per_mille,
                AttemptEnd::new(300, AttemptOutcome::ConnectFailed),
            ),
            (
                self.error_per_mille,
                AttemptEnd::new(latency, AttemptOutcome::Error),
            ),
            (
                self.cancelled_per_mille,
                AttemptEnd::new(latency / 3, AttemptOutcome::Cancelled),
            ),
            (
                self.not_dispatched_per_mille,
                AttemptEnd::new(0, AttemptOutcome::NotDispatched),
            ),
        ];
        for (per_mille, attempt_end) in failures {
            bound += per_mille;
            if random_value < bound {
                return Some(attempt_end);
            }
        }
        None
    }

    /// Returns a random latency, which grows with the attempts in flight and the size of the
    /// request.
    fn random_latency(&self, node: &SimulatedNode, relative_size: f64, rng: &mut Rng) -> Micros {
        let slow_factor = if let NodeFault::Slow(factor) = node.fault {
            factor
        } else {
            1
        };
        let queue_factor = 1 + node.attempts_in_flight as Micros / 2;
        let mean = self.idle_latency * slow_factor * queue_factor;
        let mean_for_size = (mean as f64 * (0.5 + 0.5 * relative_size.clamp(0.0, 20.0))) as Micros;
        rng.in_range(mean_for_size * 7 / 10, mean_for_size * 13 / 10 + 2)
    }
}

impl SimulatedNode {
    /// Creates a healthy node in service without attempts.
    pub fn new(node: u64, zone: u64, shard: u64, started_at: Option<Micros>) -> Self {
        SimulatedNode {
            entry: EndpointEntry {
                node,
                zone,
                shard,
                status: NodeStatus::InService,
                started_at,
            },
            fault: NodeFault::None,
            attempts_in_flight: 0,
        }
    }
}
