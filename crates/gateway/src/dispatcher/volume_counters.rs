//! Counters of the requests and the service of each volume, for the console.

use crate::storage_request::Response;
use io_scheduler::{Units, VolumeId};
use std::collections::BTreeMap;

/// With counters of this many volumes, the first request of a further volume evicts some of them.
/// The table can be larger by the volumes that were evicted while they had unfinished requests, as
/// those get counters again.
const MAX_VOLUME_COUNTERS: usize = 2_000;

/// Requests and service of one volume since its counters were created.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct VolumeCounters {
    /// Requests received, without those whose client request id was that of an unfinished one.
    pub received: u64,
    /// Requests served.
    pub served: u64,
    /// Requests rejected.
    pub rejected: u64,
    /// Requests failed, timeouts included.
    pub failed: u64,
    /// Service of the requests served.
    pub units: Units,
    /// Attempts started at nodes.
    pub attempts: u64,
}

/// The counters of the volumes with the most requests.
#[derive(Debug, Default)]
pub(super) struct VolumeCounterTable {
    /// The counters, by volume.
    by_volume: BTreeMap<VolumeId, VolumeCounters>,
}

impl VolumeCounterTable {
    /// All counters, by volume.
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
                counters.units += units;
            }
            Response::Rejected { .. } => counters.rejected += 1,
            Response::Failed | Response::TimedOut | Response::Invalid(_) => counters.failed += 1,
        }
    }

    /// The counters of a volume. They start from 0 again if they were evicted since its request was
    /// received.
    fn counters(&mut self, volume: VolumeId) -> &mut VolumeCounters {
        self.by_volume.entry(volume).or_default()
    }

    /// Removes the counters of the volumes with at most the median number of requests: about half
    /// of the volumes, or all of them if their numbers are equal. This bounds the table, as clients
    /// may name any number of volumes.
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
