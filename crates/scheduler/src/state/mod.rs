//! The scheduler's state: plain records and containers.
//!
//! No decision is made here: no file in this folder reads the settings or defines a constant of the policy,
//! so these files don't count as decision logic.

mod deadline_queue;
mod latency_estimate;
mod node;
mod pending_request;
mod queued_request;
mod repeat_key;
mod sequence;
mod shard_queue;
mod sliding_window;
mod volume;

use crate::api::{Micros, NodeId, ObjectKey, RequestId, Shard, VolumeId};
use std::collections::{BTreeMap, BTreeSet};

pub use deadline_queue::DeadlineQueue;
pub use latency_estimate::LatencyEstimate;
pub use node::{Node, NodeHealth};
pub use pending_request::{Attempt, PendingRequest};
pub use queued_request::{Candidate, Phase, Position, QueuedRequest, Seconds, Tags};
pub use repeat_key::RepeatKey;
pub use sequence::Sequence;
pub use shard_queue::{Flow, ShardQueue};
pub use sliding_window::SlidingWindow;
pub use volume::Volume;

/// The scheduler's state of nodes, volumes and requests.
#[derive(Default)]
pub struct State {
    /// Nodes listed, and those removed with attempts still in flight.
    pub nodes: BTreeMap<NodeId, Node>,
    /// The queue of requests for the node of each shard.
    pub queues: BTreeMap<Shard, ShardQueue>,
    /// Shards with queued requests: only these are checked at each event, however many shards there are.
    pub backlogged: BTreeSet<Shard>,
    /// Volumes with recent requests.
    pub volumes: BTreeMap<VolumeId, Volume>,
    /// Requests that are open or have attempts in flight.
    pub requests: BTreeMap<RequestId, PendingRequest>,
    /// Open requests by the time at which they are rejected.
    pub rejections: DeadlineQueue<RequestId>,
    /// Open requests that name no shard and for which there is no node at present.
    pub unroutable: BTreeSet<RequestId>,
    /// Requests of classes whose requests of one key are executed in order.
    pub sequences: BTreeMap<ObjectKey, Sequence>,
    /// Keys whose next request waits for the end of the quiesce period, by that time.
    pub quiescing: DeadlineQueue<ObjectKey>,
    /// When the latency objectives of unserved requests end, in case the client sends them again.
    pub objectives: BTreeMap<RepeatKey, Micros>,
    /// Requests received recently, for the retry budget.
    pub recent_requests: SlidingWindow<()>,
    /// Retries dispatched recently, for the retry budget.
    pub recent_retries: SlidingWindow<()>,
}

impl State {
    /// The node in service that holds a shard.
    pub fn node_of(&self, shard: Shard) -> Option<&Node> {
        self.nodes.get(&self.queues.get(&shard)?.node?)
    }

    /// The node in service that holds the same shard as a node, which may have been replaced by it.
    pub fn successor_of(&self, node: NodeId) -> Option<&Node> {
        self.node_of(self.nodes.get(&node)?.endpoint.shard)
    }

    /// The nodes that the endpoint list has in service.
    pub fn nodes_in_service(&self) -> impl Iterator<Item = &Node> + Clone {
        self.nodes.values().filter(|node| node.is_in_service())
    }
}
