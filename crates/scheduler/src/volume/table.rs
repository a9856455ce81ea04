//! Table of the volumes with recent requests.
//!
//! Clients may name an unbounded number of volumes, so the table removes a volume after a time
//! without requests, and the volumes with the fewest requests if there are too many.

use super::Volume;
use crate::api::{Micros, Settings, TableSize, VolumeId, VolumePlan};
use std::collections::{BTreeMap, BTreeSet};
use std::ops::Index;

/// Time without received requests and consumed tokens after which a volume is removed, in
/// microseconds.
const VOLUME_RETENTION: Micros = 60_000_000;
/// Number of cleanups within [`VOLUME_RETENTION`].
const CLEANUPS_PER_RETENTION: i64 = 8;
/// Interval between cleanups of idle volumes, in microseconds.
pub const CLEANUP_INTERVAL: Micros = VOLUME_RETENTION / CLEANUPS_PER_RETENTION;

/// Number of volumes without unfinished requests beyond which those with the fewest requests are
/// evicted.
const MAX_IDLE_VOLUMES: usize = 4_096;
/// Number of volumes without unfinished requests that an eviction leaves. The difference keeps
/// evictions rare.
const IDLE_VOLUMES_AFTER_EVICTION: usize = MAX_IDLE_VOLUMES / 4 * 3;

/// Table of volumes.
pub struct VolumeTable {
    /// Volumes, by id.
    volumes: BTreeMap<VolumeId, Volume>,
    /// Number of volumes beyond which idle ones are counted and evicted: [`MAX_IDLE_VOLUMES`], and
    /// those that had unfinished requests when they were last counted.
    limit: usize,
    /// When a volume was last evicted whose token bucket was not full.
    partial_bucket_evicted_at: Micros,
    /// Number of volumes evicted so far.
    evicted: u64,
}

impl Default for VolumeTable {
    fn default() -> Self {
        VolumeTable {
            volumes: BTreeMap::new(),
            limit: MAX_IDLE_VOLUMES,
            partial_bucket_evicted_at: Micros::MIN,
            evicted: 0,
        }
    }
}

impl VolumeTable {
    /// Returns the volume of a request. A volume that is not in the table is added with the given
    /// plan. Its token bucket counts as empty when the scheduler started, and when a volume was
    /// last evicted with a bucket that was not full, because this may be that volume.
    pub fn entry(
        &mut self,
        id: VolumeId,
        plan: &VolumePlan,
        settings: &Settings,
        started_at: Micros,
    ) -> &mut Volume {
        let bucket_empty_at = started_at.max(self.partial_bucket_evicted_at);
        self.volumes
            .entry(id)
            .or_insert_with(|| Volume::new(plan, settings, bucket_empty_at))
    }

    /// Returns a volume, unless it was removed.
    pub fn get(&self, id: VolumeId) -> Option<&Volume> {
        self.volumes.get(&id)
    }

    /// Returns a volume, unless it was removed.
    pub fn get_mut(&mut self, id: VolumeId) -> Option<&mut Volume> {
        self.volumes.get_mut(&id)
    }

    /// Returns whether the table contains a volume.
    pub fn contains(&self, id: VolumeId) -> bool {
        self.volumes.contains_key(&id)
    }

    /// Returns the number of volumes.
    pub fn len(&self) -> usize {
        self.volumes.len()
    }

    /// Returns the number of volumes, its limit and the number of evictions.
    pub fn size(&self) -> TableSize {
        TableSize {
            entries: self.volumes.len(),
            limit: self.limit,
            evicted: self.evicted,
        }
    }

    /// Returns whether idle volumes may have to be evicted.
    pub fn exceeds_limit(&self) -> bool {
        self.volumes.len() > self.limit
    }

    /// If there are too many volumes without unfinished requests, evicts those that have received
    /// the fewest requests, and among equal ones those that have been idle for longest.
    ///
    /// A client that names ever new volumes thus evicts its own ones, not those in steady use.
    pub fn evict_excess(&mut self, in_use: &BTreeSet<VolumeId>, now: Micros) {
        if !self.exceeds_limit() {
            return;
        }
        let mut idle: Vec<(u64, Micros, VolumeId)> = self
            .volumes
            .iter()
            .filter(|(id, _)| !in_use.contains(id))
            .map(|(id, volume)| (volume.received_requests(), volume.active_at(), *id))
            .collect();
        self.limit = MAX_IDLE_VOLUMES + self.volumes.len() - idle.len();
        if idle.len() <= MAX_IDLE_VOLUMES {
            return;
        }
        idle.sort_unstable();
        idle.truncate(idle.len() - IDLE_VOLUMES_AFTER_EVICTION);
        for (_, _, id) in &idle {
            let evicted = self.volumes.remove(id);
            if evicted.is_some_and(|volume| !volume.has_full_bucket(now)) {
                self.partial_bucket_evicted_at = now;
            }
        }
        self.evicted += idle.len() as u64;
    }

    /// Removes the volumes that have no unfinished request, whose token bucket is full (or that
    /// have no limit), and for which, for [`VOLUME_RETENTION`], no request was received and no
    /// tokens were consumed.
    pub fn remove_idle(&mut self, in_use: &BTreeSet<VolumeId>, now: Micros) {
        self.volumes.retain(|id, volume| {
            in_use.contains(id) || !volume.is_removable(VOLUME_RETENTION, now)
        });
    }
}

impl Index<VolumeId> for VolumeTable {
    type Output = Volume;

    /// Returns the volume of an unfinished request, which is never removed. Panics for other
    /// volumes that are not in the table.
    fn index(&self, id: VolumeId) -> &Volume {
        &self.volumes[&id]
    }
}
