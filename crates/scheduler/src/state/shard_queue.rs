//! The queue of a shard, with a flow for each volume.

use super::{DeadlineQueue, QueuedRequest, Seconds, Tags};
use crate::api::{NodeId, RequestId, VolumeId};
use std::collections::{BTreeMap, VecDeque};

/// The queue of requests for the node of one shard.
#[derive(Default)]
pub struct ShardQueue {
    /// The node in service that holds the shard.
    pub node: Option<NodeId>,
    /// Requests in dmClock's order, by volume.
    pub flows: BTreeMap<VolumeId, Flow>,
    /// Requests that can no longer meet their latency objective, by their deadline.
    pub late: DeadlineQueue<RequestId>,
    /// Units of all queued requests, the late ones included.
    pub queued_units: f64,
    /// Offset between stored share tags and the time: shifts all share tags in one step.
    pub share_shift: Seconds,
}

impl ShardQueue {
    /// The first request of each volume.
    pub fn heads(&self) -> impl Iterator<Item = (VolumeId, &QueuedRequest)> {
        self.flows.iter().filter_map(|(volume, flow)| Some((*volume, flow.queue.front()?)))
    }

    /// Whether a request is queued that is not late.
    pub fn has_timely(&self) -> bool {
        self.heads().next().is_some()
    }

    /// Whether no request is queued.
    pub fn is_empty(&self) -> bool {
        !self.has_timely() && self.late.is_empty()
    }

    /// Whether no node in service holds the shard and no volume has a flow.
    pub fn is_unused(&self) -> bool {
        self.node.is_none() && self.flows.is_empty()
    }
}

/// A volume's queue at one shard.
pub struct Flow {
    /// Requests in the order of their dispatch.
    pub queue: VecDeque<QueuedRequest>,
    /// Tags of the request dispatched last.
    pub last_tags: Tags,
    /// Units of the volume's service that the tags of this flow account for.
    pub counted_units: f64,
    /// When a request was last tagged here.
    pub tagged_at: Seconds,
}

impl Flow {
    /// An empty flow, whose tags account for the `counted_units` that the volume was served so far.
    pub fn new(counted_units: f64, now: Seconds) -> Self {
        Flow { queue: VecDeque::new(), last_tags: Tags::MIN, counted_units, tagged_at: now }
    }
}
