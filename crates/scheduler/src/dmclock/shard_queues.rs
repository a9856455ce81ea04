//! The queues of all shards, and which of them have requests.

use super::shard_queue::ShardQueue;
use crate::api::Shard;
use crate::volume::VolumeTable;
use std::collections::{BTreeMap, BTreeSet};
use std::ops::Index;

/// A queue for each shard that a node holds, or that has queued requests or remembered flows.
#[derive(Default)]
pub struct ShardQueues {
    /// The queues by shard.
    queues: BTreeMap<Shard, ShardQueue>,
    /// Shards with queued requests: only these are checked at each event, however many shards there
    /// are.
    backlogged: BTreeSet<Shard>,
}

impl ShardQueues {
    /// Adds the queue of a shard, if it is not there yet.
    pub fn add(&mut self, shard: Shard) {
        self.queues.entry(shard).or_default();
    }

    /// The queue of a shard to which a request is added.
    pub fn mark_backlogged(&mut self, shard: Shard) -> &mut ShardQueue {
        self.backlogged.insert(shard);
        self.queues.entry(shard).or_default()
    }

    /// The queue of a shard, to be changed.
    pub fn get_mut(&mut self, shard: Shard) -> Option<&mut ShardQueue> {
        self.queues.get_mut(&shard)
    }

    /// The shards with queued requests.
    pub fn backlogged(&self) -> impl Iterator<Item = Shard> + '_ {
        self.backlogged.iter().copied()
    }

    /// Removes a shard from those with queued requests if it has none left.
    pub fn unmark_backlogged_if_empty(&mut self, shard: Shard) {
        if self.queues[&shard].is_empty() {
            self.backlogged.remove(&shard);
        }
    }

    /// Number of queues.
    pub fn len(&self) -> usize {
        self.queues.len()
    }

    /// Forgets the flows of removed volumes, then the queues without flows and requests whose shard
    /// no node holds.
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

    /// The queue of a shard that a node holds or that has queued requests.
    fn index(&self, shard: Shard) -> &ShardQueue {
        &self.queues[&shard]
    }
}
