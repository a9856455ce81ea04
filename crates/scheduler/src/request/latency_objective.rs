//! Latency objectives: when a request should be served, and whether that is still possible.
//!
//! The end of the objective follows from the latency objective of the class and the deadline of the
//! request. Whether it can be met depends on the expected latency of the node. Times are in
//! microseconds.
//!
//! A client that retries sends a new request. With a new objective, the retry would no longer count
//! as late, so it keeps the objective of the earlier request if that was closed without a known
//! served attempt. A repeated request (repeat) is recognized by volume, object and class.

use super::UnfinishedRequest;
use crate::api::{ClassIndex, Micros, ObjectKey, Request, RequestClass, TableSize, VolumeId};
use crate::collections::TimeOrderedQueue;
use crate::time::Latency;
use std::collections::BTreeMap;

/// Minimum time in microseconds for which an objective is stored after its end. Older objectives
/// are removed when the next one is recorded; until then, a repeat is recognized however late it is
/// received.
const REPEAT_WINDOW: Micros = 1_000_000;

/// Maximum number of stored objectives.
const MAX_OBJECTIVES: usize = 8_192;

/// Fields that are the same in a request and its repeat; their ids differ.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct RepeatKey {
    /// Volume of both requests.
    volume: VolumeId,
    /// Object that both requests read or write.
    object: ObjectKey,
    /// Class of both requests.
    class: ClassIndex,
}

impl RepeatKey {
    /// Returns the key of a request, or `None` if the request names no object, in which case its
    /// repeats cannot be recognized.
    fn of(request: &Request) -> Option<Self> {
        Some(RepeatKey {
            volume: request.volume,
            object: request.key?,
            class: request.class,
        })
    }
}

/// Ends of the latency objectives of requests that were closed without a known served attempt.
#[derive(Default)]
pub struct LatencyObjectives {
    /// End of the objective of each request, by the fields that its repeat has in common with it.
    objective_ends: BTreeMap<RepeatKey, Micros>,
    /// The keys of `objective_ends`, ordered by the end of the objective.
    by_end: TimeOrderedQueue<RepeatKey>,
    /// Number of objectives evicted so far.
    evicted: u64,
}

impl LatencyObjectives {
    /// Returns when the objective of a request that is received now ends. The client does not wait
    /// beyond its deadline, so the objective ends at the deadline at the latest.
    pub fn assign(&mut self, request: &Request, class: &RequestClass, now: Micros) -> Micros {
        let objective_ends_at = match self.take_earlier_objective(request) {
            Some(earlier_objective_ends_at) => earlier_objective_ends_at,
            None => now + class.latency_objective,
        };
        objective_ends_at.min(request.deadline)
    }

    /// Removes and returns the end of the objective of the earlier request that this one repeats.
    fn take_earlier_objective(&mut self, request: &Request) -> Option<Micros> {
        self.remove(RepeatKey::of(request)?)
    }

    /// Removes and returns the end of an objective.
    fn remove(&mut self, key: RepeatKey) -> Option<Micros> {
        let objective_ends_at = self.objective_ends.remove(&key)?;
        self.by_end.remove(objective_ends_at, key);
        Some(objective_ends_at)
    }

    /// Returns the number of objectives, its limit and the number of evictions.
    pub fn size(&self) -> TableSize {
        TableSize {
            entries: self.objective_ends.len(),
            limit: MAX_OBJECTIVES,
            evicted: self.evicted,
        }
    }

    /// Records the objective of a request that is closed without a known served attempt, in case
    /// its client sends the request again. If there are too many, the one that ends first is
    /// evicted.
    pub fn record_for_repeat(&mut self, unfinished: &UnfinishedRequest, now: Micros) {
        let Some(key) = RepeatKey::of(unfinished.request()) else {
            return;
        };
        while let Some(expired) = self.by_end.pop_expired(now - REPEAT_WINDOW) {
            self.objective_ends.remove(&expired);
        }
        self.remove(key);
        if self.objective_ends.len() >= MAX_OBJECTIVES {
            if let Some(evicted) = self.by_end.pop_first() {
                self.objective_ends.remove(&evicted);
                self.evicted += 1;
            }
        }
        let objective_ends_at = unfinished.objective_ends_at();
        self.objective_ends.insert(key, objective_ends_at);
        self.by_end.insert(objective_ends_at, key);
    }
}

/// Returns whether a request can no longer meet its objective at a node with this expected latency.
pub fn misses_objective(unfinished: &UnfinishedRequest, expected: Latency, now: Micros) -> bool {
    let completes_at = now + (expected * unfinished.relative_latency()).to_micros();
    completes_at > unfinished.objective_ends_at()
}
