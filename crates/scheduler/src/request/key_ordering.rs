//! Which request of an object may run, in classes whose requests of one key run in the order of
//! their receipt.
//!
//! Inputs: receipt and end of the requests of each key, and attempts that ended while the node may
//! still be executing them. After such an attempt no other request of its key is dispatched for the
//! quiesce period of the settings (microseconds), so that the next one cannot overtake it at the
//! node. A retry of the same request does not wait for the end of that period.

use crate::api::{Micros, ObjectKey, RequestId};
use crate::collections::DeadlineQueue;
use std::collections::{BTreeMap, VecDeque};

/// Requests of one key in the order of their receipt; the first may run once the quiesce period is
/// over.
#[derive(Default)]
struct KeySequence {
    /// Requests that are open or have attempts in flight.
    requests: VecDeque<RequestId>,
    /// End of the quiesce period.
    quiesced_until: Micros,
}

/// The sequences of all keys with ordered requests.
#[derive(Default)]
pub struct KeySequences {
    /// The sequences by key.
    sequences: BTreeMap<ObjectKey, KeySequence>,
    /// Keys whose next request waits for the end of the quiesce period, by that time.
    quiescing: DeadlineQueue<ObjectKey>,
}

impl KeySequences {
    /// Adds a request to its key's sequence; returns whether it may run at once.
    pub fn add(&mut self, key: ObjectKey, id: RequestId, now: Micros) -> bool {
        let sequence = self.sequences.entry(key).or_default();
        sequence.requests.push_back(id);
        sequence.requests.len() == 1 && sequence.quiesced_until <= now
    }

    /// Removes a request that is over from its key's sequence; returns the first one left if it may
    /// run.
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

    /// Starts or extends the quiesce period of a key with ordered requests.
    pub fn quiesce(&mut self, key: ObjectKey, until: Micros) {
        if let Some(sequence) = self.sequences.get_mut(&key) {
            sequence.quiesced_until = sequence.quiesced_until.max(until);
        }
    }

    /// Removes and returns a key whose quiesce period is over, as it was when the key began to
    /// wait; it may have been extended since.
    pub fn pop_quiesced(&mut self, now: Micros) -> Option<ObjectKey> {
        self.quiescing.pop_expired(now)
    }

    /// The first request of a key if the quiesce period is over; a sequence without requests is
    /// removed.
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

    /// The earliest end of a quiesce period for which a request waits.
    pub fn next_quiesced(&self) -> Option<Micros> {
        self.quiescing.next_deadline()
    }
}
