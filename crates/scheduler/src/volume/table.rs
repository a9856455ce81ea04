//! Table of the volumes with recent requests.
//!
//! Clients may name an unbounded number of volumes, so the table removes a volume after a time
//! without requests.

use super::Volume;
use crate::api::{Micros, Settings, VolumeId, VolumePlan};
use std::collections::{BTreeMap, BTreeSet};
use std::ops::Index;

/// Time without received requests and consumed tokens after which a volume is removed, in
/// microseconds.
const VOLUME_RETENTION: Micros = 60_000_000;
/// Number of cleanups within [`VOLUME_RETENTION`].
const CLEANUPS_PER_RETENTION: i64 = 8;
/// Interval between cleanups of idle volumes, in microseconds.
pub const CLEANUP_INTERVAL: Micros = VOLUME_RETENTION / CLEANUPS_PER_RETENTION;

/// Table of volumes.
#[derive(Default)]
pub struct VolumeTable {
    /// Volumes, by id.
    volumes: BTreeMap<VolumeId, Volume>,
}

impl VolumeTable {
    /// Returns the volume of a request. A volume that is not in the table is added with the given
    /// plan.
    pub fn entry(
        &mut self,
        id: VolumeId,
        plan: &VolumePlan,
        settings: &Settings,
        started_at: Micros,
    ) -> &mut Volume {
        self.volumes
            .entry(id)
            .or_insert_with(|| Volume::new(plan, settings, started_at))
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
