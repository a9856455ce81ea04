//! Requests of one key run one after the other, in the order of their receipt.

use super::DeadlineQueue;
use crate::api::{Micros, ObjectKey, RequestId};
use std::collections::{BTreeMap, VecDeque};

/// Requests of one key; the first may run when the quiesce period is over: until then an attempt that ended
/// without a response may still be executing.
#[derive(Default)]
struct Sequence {
    requests: VecDeque<RequestId>,
    quiesced_until: Micros,
}

/// The sequences of all keys.
#[derive(Default)]
pub struct KeySequences {
    sequences: BTreeMap<ObjectKey, Sequence>,
    /// Keys whose next request waits for the end of the quiesce period.
    pub quiescing: DeadlineQueue<ObjectKey>,
}

impl KeySequences {
    /// Adds a request; tells whether it may run at once.
    pub fn push(&mut self, key: ObjectKey, id: RequestId, now: Micros) -> bool {
        let sequence = self.sequences.entry(key).or_default();
        sequence.requests.push_back(id);
        sequence.requests.len() == 1 && sequence.quiesced_until <= now
    }

    /// Lets no other request of a key begin before a time.
    pub fn quiesce(&mut self, key: ObjectKey, until: Micros) {
        if let Some(sequence) = self.sequences.get_mut(&key) {
            sequence.quiesced_until = sequence.quiesced_until.max(until);
        }
    }

    /// Removes a request that is over; returns the next one if it may run.
    pub fn remove(&mut self, key: ObjectKey, id: RequestId, now: Micros) -> Option<RequestId> {
        let sequence = self.sequences.get_mut(&key)?;
        let was_first = sequence.requests.front() == Some(&id);
        sequence.requests.retain(|waiting| *waiting != id);
        if sequence.quiesced_until > now {
            self.quiescing.insert(sequence.quiesced_until, key);
            return None;
        }
        self.first_or_forget(key).filter(|_| was_first)
    }

    /// Ends the quiesce periods that are over; returns the first requests of those keys.
    pub fn end_quiesce_periods(&mut self, now: Micros) -> Vec<RequestId> {
        let mut first_requests = Vec::new();
        while let Some(key) = self.quiescing.pop_expired(now) {
            if self.sequences.get(&key).is_some_and(|sequence| sequence.quiesced_until <= now) {
                first_requests.extend(self.first_or_forget(key));
            }
        }
        first_requests
    }

    /// The first request of a key; a key without any is forgotten.
    fn first_or_forget(&mut self, key: ObjectKey) -> Option<RequestId> {
        let first = self.sequences.get(&key)?.requests.front().copied();
        if first.is_none() {
            self.sequences.remove(&key);
        }
        first
    }
}
