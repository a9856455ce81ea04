//! Counters of requests and served units for each volume, which the console prints.

use crate::storage_request::Response;
use io_scheduler::{Units, VolumeId};
use std::collections::BTreeMap;

/// If this many volumes have counters, some counters are removed when a request for another volume
/// is received. The table can exceed this limit: a volume whose counters were removed while it had
/// unfinished requests gets new ones at the next attempt or response of one of these requests.
const MAX_VOLUME_COUNTERS: usize = 2_000;

/// Counters of one volume since they were created. They restart from 0 after they were removed from
/// the full table.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct VolumeCounters {
    /// Requests received, except those with the client request id of an unfinished request.
    pub received: u64,
    /// Requests served.
    pub served: u64,
    /// Requests rejected.
    pub rejected: u64,
    /// Requests failed, including timeouts.
    pub failed: u64,
    /// Total units of the requests served.
    pub served_units: Units,
    /// Attempts started at nodes.
    pub attempts: u64,
}

/// The counters of volumes. When a request for a volume without counters is received while the
/// table is full, the volumes with at most the median number of requests are removed.
#[derive(Debug, Default)]
pub(super) struct VolumeCounterTable {
    /// The counters, by volume.
    by_volume: BTreeMap<VolumeId, VolumeCounters>,
}

impl VolumeCounterTable {
    /// Returns all counters, by volume.
    pub(super) fn by_volume(&self) -> &BTreeMap<VolumeId, VolumeCounters> {
        &self.by_volume
    }

    /// Counts a request received.
    pub(super) fn record_received(&mut self, volume: VolumeId) {
        if self.by_volume.len() >= MAX_VOLUME_COUNTERS && !self.by_volume.contains_key(&volume) {
            self.evict_up_to_median();
        }
        self.counters(volume).received += 1;
    }

    /// Counts an attempt started.
    pub(super) fn record_attempt(&mut self, volume: VolumeId) {
        self.counters(volume).attempts += 1;
    }

    /// Counts a final response to a request of `units`.
    pub(super) fn record_response(&mut self, volume: VolumeId, units: Units, response: &Response) {
        let counters = self.counters(volume);
        match response {
            Response::Served(_) => {
                counters.served += 1;
                counters.served_units += units;
            }
            Response::Rejected { .. } => counters.rejected += 1,
            Response::Failed | Response::TimedOut | Response::Invalid(_) => counters.failed += 1,
        }
    }

    /// Returns the counters of a volume. They restart from 0 if they were removed after its request
    /// was received.
    fn counters(&mut self, volume: VolumeId) -> &mut VolumeCounters {
        self.by_volume.entry(volume).or_default()
    }

    /// Removes the counters of all volumes with at most the median number of requests: about half
    /// of the volumes, or all of them if their numbers are equal. This bounds the table, because
    /// clients may name any number of volumes.
    fn evict_up_to_median(&mut self) {
        let mut received: Vec<u64> = self
            .by_volume
            .values()
            .map(|counters| counters.received)
            .collect();
        let middle = received.len() / 2;
        let median = *received.select_nth_unstable(middle).1;
        self.by_volume
            .retain(|_, counters| counters.received > median);
    }
}
