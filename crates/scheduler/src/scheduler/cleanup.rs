//! When state is forgotten that no request needs any longer.

use super::Scheduler;
use crate::api::VolumeId;
use crate::volume::CLEANUP_INTERVAL;
use std::collections::BTreeSet;

impl Scheduler {
    /// Removes idle volumes with their flows, and shards without a node, a flow or a queued
    /// request.
    pub(super) fn clean_up(&mut self) {
        if self.now - self.last_cleanup_at < CLEANUP_INTERVAL {
            return;
        }
        self.last_cleanup_at = self.now;
        let in_use: BTreeSet<VolumeId> = self
            .requests
            .values()
            .map(|pending| pending.request().volume)
            .collect();
        self.volumes.remove_idle(&in_use, self.now);
        let nodes = &self.nodes;
        self.queues
            .remove_idle(&self.volumes, |shard| nodes.node_of(shard).is_some());
    }
}
