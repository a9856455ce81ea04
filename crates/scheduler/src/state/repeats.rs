//! Repeats by clients of requests that were not served.

use super::PendingRequest;
use crate::api::{Micros, ObjectKey, Request, VolumeId};
use std::collections::BTreeMap;

/// What a client's repeat has in common with the request before.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct RepeatKey {
    volume: VolumeId,
    object: ObjectKey,
    class: usize,
}

impl RepeatKey {
    fn new(request: &Request) -> Option<Self> {
        Some(RepeatKey { volume: request.volume, object: request.key?, class: request.class })
    }
}

/// Latency objectives of requests closed unserved, for the client's repeats of them.
#[derive(Default)]
pub struct RepeatTracker {
    objectives: BTreeMap<RepeatKey, Micros>,
}

impl RepeatTracker {
    /// When the latency objective passes of the request that this one repeats.
    pub fn take_objective(&mut self, request: &Request) -> Option<Micros> {
        self.objectives.remove(&RepeatKey::new(request)?)
    }

    /// Remembers a request that is closed unserved; forgets those whose objective passed before a time.
    pub fn record(&mut self, pending: &PendingRequest, forget_before: Micros) {
        let Some(key) = RepeatKey::new(&pending.request) else { return };
        self.objectives.retain(|_, objective_at| *objective_at > forget_before);
        self.objectives.insert(key, pending.objective_at);
    }
}
