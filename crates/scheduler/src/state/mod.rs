//! What the scheduler remembers: plain records and containers.
//!
//! No decision is made here: no file in this folder reads the settings or defines a constant of the policy, so
//! these files don't count as decision logic.

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

/// All that the scheduler remembers of nodes, volumes and requests.
#[derive(Default)]
pub struct State {
    /// Nodes listed, and those removed with attempts still in flight.
    pub nodes: BTreeMap<NodeId, Node>,
    /// What waits for the node of each shard.
    pub queues: BTreeMap<Shard, ShardQueue>,
    /// Shards for which something is queued: only these are checked, however large the fleet.
    pub backlogged: BTreeSet<Shard>,
    /// Volumes with requests of late.
    pub volumes: BTreeMap<VolumeId, Volume>,
    /// Requests that are open or have attempts in flight.
    pub requests: BTreeMap<RequestId, PendingRequest>,
    /// Open requests by the time at which they are rejected.
    pub rejections: DeadlineQueue<RequestId>,
    /// Open requests that no node can take at present.
    pub unroutable: BTreeSet<RequestId>,
    /// Ordered requests by their key.
    pub sequences: BTreeMap<ObjectKey, Sequence>,
    /// Keys whose next request waits for the end of the quiesce period.
    pub quiescing: DeadlineQueue<ObjectKey>,
    /// Latency objectives of requests closed unserved, for the client's repeats of them.
    pub objectives: BTreeMap<RepeatKey, Micros>,
    /// Requests received of late, for the retry budget.
    pub recent_requests: SlidingWindow<()>,
    /// Retries of late, for the retry budget.
    pub recent_retries: SlidingWindow<()>,
}

impl State {
    /// The node in service that holds a shard.
    pub fn node_of(&self, shard: Shard) -> Option<&Node> {
        self.nodes.get(&self.queues.get(&shard)?.node?)
    }

    /// The nodes that the list has in service.
    pub fn nodes_in_service(&self) -> impl Iterator<Item = &Node> + Clone {
        self.nodes.values().filter(|node| node.is_in_service())
    }
}
