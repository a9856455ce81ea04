//! Removes state that no request needs any longer.

use super::Scheduler;
use crate::api::VolumeId;
use crate::volume::CLEANUP_INTERVAL;
use std::collections::BTreeSet;

impl Scheduler {
    /// Removes idle volumes and their flows, and shards that have no node, no flow and no queued
    /// request. Runs once per cleanup interval, and earlier if a table exceeds its limit, in order
    /// to evict entries.
    pub(super) fn clean_up(&mut self) {
        let is_due = self.now - self.last_cleanup_at >= CLEANUP_INTERVAL;
        let is_over_limit = self.volumes.exceeds_limit() || self.queues.exceed_limits();
        if !is_due && !is_over_limit {
            return;
        }
        self.last_cleanup_at = self.now;
        let in_use: BTreeSet<VolumeId> = self
            .requests
            .values()
            .map(|unfinished| unfinished.request().volume)
            .collect();
        self.volumes.remove_idle(&in_use, self.now);
        self.volumes.evict_excess(&in_use, self.now);
        let nodes = &self.nodes;
        let has_node = |shard| nodes.node_of(shard).is_some();
        self.queues.remove_idle(&self.volumes, has_node);
        self.queues.evict_excess(has_node);
    }
}
