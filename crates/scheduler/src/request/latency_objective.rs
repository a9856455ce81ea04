//! Until when a request should be served, and whether it still can be.
//!
//! Inputs: the latency objective of the class, the deadline, the expected latency of the node, and
//! the objectives of requests that were closed without service. A client that retries sends a new
//! request; with a new objective it would compete as timely work again, so a repeat keeps the
//! objective of the first request. Repeats are recognized by volume, object and class. All times
//! are in microseconds.

use super::PendingRequest;
use crate::api::{ClassIndex, Micros, ObjectKey, Request, RequestClass, VolumeId};
use crate::time::Latency;
use std::collections::BTreeMap;

/// Time in microseconds after the end of an objective for which it is certainly remembered. Older
/// ones are dropped when the next one is kept; until then a repeat is recognized however late it
/// is.
const REPEAT_WINDOW: Micros = 1_000_000;

/// The fields in which a repeat equals the earlier request; the ids differ.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct RepeatKey {
    /// The volume.
    volume: VolumeId,
    /// The object that both read or write.
    object: ObjectKey,
    /// The class.
    class: ClassIndex,
}

impl RepeatKey {
    /// The key of a request; `None` if it names no object, since its repeats can't be recognized.
    fn of(request: &Request) -> Option<Self> {
        Some(RepeatKey {
            volume: request.volume,
            object: request.key?,
            class: request.class,
        })
    }
}

/// When the latency objectives of requests that were closed without service end.
#[derive(Default)]
pub struct LatencyObjectives {
    /// End of the objective, by what a repeat has in common with the request.
    unserved: BTreeMap<RepeatKey, Micros>,
}

impl LatencyObjectives {
    /// When the objective of a request that is received now ends. The client does not wait longer
    /// than its deadline, so a later objective is moved up to it.
    pub fn assign(&mut self, request: &Request, class: &RequestClass, now: Micros) -> Micros {
        let objective_at = match self.take_earlier_objective(request) {
            Some(earlier_objective_at) => earlier_objective_at,
            None => now + class.latency_objective,
        };
        objective_at.min(request.deadline)
    }

    /// The objective of the earlier request that this one repeats.
    fn take_earlier_objective(&mut self, request: &Request) -> Option<Micros> {
        self.unserved.remove(&RepeatKey::of(request)?)
    }

    /// Keeps the objective of a request that is closed without service, in case its client sends it
    /// again.
    pub fn record_unserved(&mut self, pending: &PendingRequest, now: Micros) {
        let Some(key) = RepeatKey::of(pending.request()) else {
            return;
        };
        self.unserved
            .retain(|_, objective_at| *objective_at > now - REPEAT_WINDOW);
        self.unserved.insert(key, pending.objective_at());
    }
}

/// Whether a request can no longer meet its objective at a node with this expected latency.
pub fn misses_objective(pending: &PendingRequest, expected: Latency, now: Micros) -> bool {
    let completes_at = now + (expected * pending.relative_latency()).to_micros();
    completes_at > pending.objective_at()
}
