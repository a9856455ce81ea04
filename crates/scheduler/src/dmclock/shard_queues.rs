//! Queues of all shards, and the set of shards with queued requests.

use super::shard_queue::ShardQueue;
use crate::api::Shard;
use crate::volume::VolumeTable;
use std::collections::{BTreeMap, BTreeSet};
use std::ops::Index;

/// One queue for each shard that is held by a node, has queued requests, or has flows.
#[derive(Default)]
pub struct ShardQueues {
    /// The queues by shard.
    queues: BTreeMap<Shard, ShardQueue>,
    /// Shards with queued requests. Only these are checked at each event, so that the cost of an
    /// event does not depend on the total number of shards.
    backlogged: BTreeSet<Shard>,
}

impl ShardQueues {
    /// Adds an empty queue for a shard, if there is none yet.
    pub fn add(&mut self, shard: Shard) {
        self.queues.entry(shard).or_default();
    }

    /// Marks a shard as having queued requests and returns its queue, to which the caller adds a
    /// request.
    pub fn mark_backlogged_and_get_mut(&mut self, shard: Shard) -> &mut ShardQueue {
        self.backlogged.insert(shard);
        self.queues.entry(shard).or_default()
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
