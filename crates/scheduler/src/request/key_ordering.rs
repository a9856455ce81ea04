//! Ensures that requests of ordered classes that have the same key are executed one after another,
//! in the order in which they were received.
//!
//! An attempt can end, for example with a timeout, while the node may still be executing it. The
//! quiesce period of its key then starts. It lasts for the time in the settings (microseconds), and
//! until it has ended, no other ordered request with the key is queued for dispatch. Otherwise the
//! next request could overtake the attempt at the node. A retry of the same request does not wait.

use crate::api::{Micros, ObjectKey, RequestId};
use crate::collections::TimeOrderedQueue;
use std::collections::{BTreeMap, VecDeque};

/// Requests of one key in the order in which they were received. The first may be queued for
/// dispatch once the quiesce period is over.
#[derive(Default)]
struct KeySequence {
    /// Requests that are open or have attempts in flight.
    requests: VecDeque<RequestId>,
    /// End of the quiesce period.
    quiesced_until: Micros,
}

/// Sequences of all keys that have ordered requests.
#[derive(Default)]
pub struct KeySequences {
    /// Sequences, by key.
    sequences: BTreeMap<ObjectKey, KeySequence>,
    /// Keys to check again at the end of their quiesce period, ordered by that time. Keys without
    /// requests are included: their sequences are removed at that time.
    quiescing: TimeOrderedQueue<ObjectKey>,
}

impl KeySequences {
    /// Adds a request to the sequence of its key. Returns whether the request may be queued at
    /// once.
    pub fn add(&mut self, key: ObjectKey, id: RequestId, now: Micros) -> bool {
        let sequence = self.sequences.entry(key).or_default();
        sequence.requests.push_back(id);
        sequence.requests.len() == 1 && sequence.quiesced_until <= now
    }

    /// Removes a finished request from the sequence of its key. Returns the next request if the
    /// removed one was the first and the next one may be queued now.
    pub fn remove(&mut self, key: ObjectKey, id: RequestId, now: Micros) -> Option<RequestId> {
        let sequence = self.sequences.get_mut(&key)?;
        let was_first = sequence.requests.front() == Some(&id);
        sequence.requests.retain(|waiting| *waiting != id);
        if sequence.quiesced_until > now {
            self.quiescing.insert(sequence.quiesced_until, key);
            return None;
        }
        if was_first {
            self.first_ready(key, now)
        } else {
            None
        }
    }

    /// Starts or extends the quiesce period of a key that has ordered requests.
    pub fn quiesce(&mut self, key: ObjectKey, until: Micros) {
        if let Some(sequence) = self.sequences.get_mut(&key) {
            sequence.quiesced_until = sequence.quiesced_until.max(until);
        }
    }

    /// Removes and returns a key of `quiescing` whose recorded end of the quiesce period has
    /// passed. The period may have been extended since it was recorded, so the caller must check it
    /// again ([`Self::first_ready`]).
    pub fn pop_quiesced(&mut self, now: Micros) -> Option<ObjectKey> {
        self.quiescing.pop_expired(now)
    }

    /// Returns the first request of a key if the quiesce period is over. Removes the sequence if it
    /// has no requests.
    pub fn first_ready(&mut self, key: ObjectKey, now: Micros) -> Option<RequestId> {
        let sequence = self.sequences.get(&key)?;
        if sequence.quiesced_until > now {
            return None;
        }
        let first = sequence.requests.front().copied();
        if first.is_none() {
            self.sequences.remove(&key);
        }
        first
    }

    /// Returns the earliest time at which a key has to be checked again.
    pub fn next_check_at(&self) -> Option<Micros> {
        self.quiescing.next_time()
    }
}
