//! Queues of all shards, and the set of shards with queued requests.
//!
//! Clients may name any number of volumes and shards. The flows without requests are therefore
//! bounded by number, and so are the queues of shards that no node holds.

use super::flow::Position;
use super::shard_queue::ShardQueue;
use crate::api::{Shard, TableSize, VolumeId};
use crate::request::UnfinishedRequest;
use crate::time::Seconds;
use crate::volume::{Volume, VolumeTable};
use std::collections::{BTreeMap, BTreeSet};
use std::ops::Index;

/// Number of flows without requests beyond which the longest idle ones are evicted.
const MAX_IDLE_FLOWS: usize = 16_384;
/// Number of flows without requests that an eviction leaves. The difference keeps evictions rare.
const IDLE_FLOWS_AFTER_EVICTION: usize = MAX_IDLE_FLOWS / 4 * 3;
/// Number of added queues after which those without requests are evicted whose shard no node holds.
const MAX_ADDED_QUEUES: usize = 256;

/// One queue for each shard that is held by a node, has queued requests, or has flows.
pub struct ShardQueues {
    /// The queues by shard.
    queues: BTreeMap<Shard, ShardQueue>,
    /// Shards with queued requests. Only these are checked at each event, so that the cost of an
    /// event does not depend on the total number of shards.
    backlogged: BTreeSet<Shard>,
    /// Number of flows of all queues.
    flows: usize,
    /// Number of flows beyond which idle ones are counted and evicted: [`MAX_IDLE_FLOWS`], and
    /// those that had requests when they were last counted.
    flow_limit: usize,
    /// Number of queues beyond which queues are evicted: [`MAX_ADDED_QUEUES`] more than were left
    /// by the last eviction.
    queue_limit: usize,
    /// Number of flows evicted so far, including those of evicted queues.
    evicted_flows: u64,
    /// Number of queues evicted so far.
    evicted_queues: u64,
}

impl Default for ShardQueues {
    fn default() -> Self {
        ShardQueues {
            queues: BTreeMap::new(),
            backlogged: BTreeSet::new(),
            flows: 0,
            flow_limit: MAX_IDLE_FLOWS,
            queue_limit: MAX_ADDED_QUEUES,
            evicted_flows: 0,
            evicted_queues: 0,
        }
    }
}

impl ShardQueues {
    /// Adds an empty queue for a shard, if there is none yet.
    pub fn add(&mut self, shard: Shard) {
        self.queues.entry(shard).or_default();
    }

    /// Queues a request for a shard.
    pub fn insert(
        &mut self,
        shard: Shard,
        unfinished: &UnfinishedRequest,
        position: Position,
        volume: &Volume,
        now: Seconds,
    ) {
        self.backlogged.insert(shard);
        let queue = self.queues.entry(shard).or_default();
        if queue.insert(unfinished, position, volume, now) {
            self.flows += 1;
        }
    }

    /// Returns the queue of a shard.
    pub fn get_mut(&mut self, shard: Shard) -> Option<&mut ShardQueue> {
        self.queues.get_mut(&shard)
    }

    /// Returns the shards with queued requests.
    pub fn backlogged(&self) -> impl Iterator<Item = Shard> + '_ {
        self.backlogged.iter().copied()
    }

    /// Removes a shard from the set of shards with queued requests if its queue is empty.
    pub fn unmark_backlogged_if_empty(&mut self, shard: Shard) {
        if self.queues[&shard].is_empty() {
            self.backlogged.remove(&shard);
        }
    }

    /// Returns the number of queues.
    pub fn len(&self) -> usize {
        self.queues.len()
    }

    /// Returns the number of queues, its limit and the number of evictions.
    pub fn size(&self) -> TableSize {
        TableSize {
            entries: self.queues.len(),
            limit: self.queue_limit,
            evicted: self.evicted_queues,
        }
    }

    /// Returns the number of flows, its limit and the number of evictions.
    pub fn flow_size(&self) -> TableSize {
        TableSize {
            entries: self.flows,
            limit: self.flow_limit,
            evicted: self.evicted_flows,
        }
    }

    /// Returns whether idle flows or queues may have to be evicted.
    pub fn exceed_limits(&self) -> bool {
        self.flows > self.flow_limit || self.queues.len() > self.queue_limit
    }

    /// Removes the idle flows of removed volumes. Then removes each queue that has neither flows
    /// nor requests, if no node holds its shard.
    pub fn remove_idle(&mut self, volumes: &VolumeTable, has_node: impl Fn(Shard) -> bool) {
        for queue in self.queues.values_mut() {
            queue.remove_idle_flows(volumes);
        }
        let backlogged = &self.backlogged;
        self.queues.retain(|shard, queue| {
            has_node(*shard) || queue.has_flows() || backlogged.contains(shard)
        });
        self.count_flows();
    }

    /// If there are too many queues, evicts those without requests whose shard no node holds. If
    /// there are too many flows without requests, evicts those to which no request was added for
    /// longest: their tags are the first to be in the past, where they no longer matter.
    pub fn evict_excess(&mut self, has_node: impl Fn(Shard) -> bool) {
        if self.queues.len() > self.queue_limit {
            self.evict_queues(has_node);
        }
        if self.flows > self.flow_limit {
            self.evict_flows();
        }
    }

    /// Evicts the queues without requests whose shard no node holds.
    fn evict_queues(&mut self, has_node: impl Fn(Shard) -> bool) {
        let (queues_before, flows_before) = (self.queues.len(), self.flows);
        let backlogged = &self.backlogged;
        self.queues
            .retain(|shard, _| has_node(*shard) || backlogged.contains(shard));
        self.count_flows();
        self.evicted_queues += (queues_before - self.queues.len()) as u64;
        self.evicted_flows += (flows_before - self.flows) as u64;
        self.queue_limit = self.queues.len() + MAX_ADDED_QUEUES;
    }

    /// Evicts the longest idle flows.
    fn evict_flows(&mut self) {
        let mut idle: Vec<(Seconds, Shard, VolumeId)> = Vec::new();
        for (shard, queue) in &self.queues {
            let flows = queue.idle_flows();
            idle.extend(flows.map(|(tagged_at, volume)| (tagged_at, *shard, volume)));
        }
        self.flow_limit = MAX_IDLE_FLOWS + self.flows - idle.len();
        if idle.len() <= MAX_IDLE_FLOWS {
            return;
        }
        idle.sort_by(|(first, ..), (second, ..)| first.0.total_cmp(&second.0));
        idle.truncate(idle.len() - IDLE_FLOWS_AFTER_EVICTION);
        for (_, shard, volume) in &idle {
            if let Some(queue) = self.queues.get_mut(shard) {
                queue.remove_flow(*volume);
            }
        }
        self.flows -= idle.len();
        self.evicted_flows += idle.len() as u64;
    }

    /// Counts the flows of all queues.
    fn count_flows(&mut self) {
        self.flows = self.queues.values().map(ShardQueue::flow_count).sum();
    }
}

impl Index<Shard> for ShardQueues {
    type Output = ShardQueue;

    /// Returns the queue of a shard that is held by a node or has queued requests. Panics if there
    /// is none.
    fn index(&self, shard: Shard) -> &ShardQueue {
        &self.queues[&shard]
    }
}
