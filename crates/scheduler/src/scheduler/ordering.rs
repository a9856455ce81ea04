//! Per-key ordering: requests of one key run one after the other, in the order of their receipt.

use super::Scheduler;
use crate::api::{ObjectKey, RequestId};
use crate::state::Position;

impl Scheduler {
    /// Adds a request to its key's sequence; returns whether it may run at once.
    pub(super) fn join_sequence(&mut self, key: ObjectKey, id: RequestId) -> bool {
        let sequence = self.state.sequences.entry(key).or_default();
        sequence.requests.push_back(id);
        sequence.requests.len() == 1 && sequence.quiesced_until <= self.now
    }

    /// Removes a request that is over from its key's sequence; the next one may run.
    pub(super) fn leave_sequence(&mut self, key: ObjectKey, id: RequestId) {
        let Some(sequence) = self.state.sequences.get_mut(&key) else { return };
        let was_first = sequence.requests.front() == Some(&id);
        sequence.requests.retain(|waiting| *waiting != id);
        if sequence.quiesced_until > self.now {
            self.state.quiescing.insert(sequence.quiesced_until, key);
        } else if was_first {
            self.run_first(key);
        }
    }

    /// Queues the first request of a key if the quiesce period is over and it was not dispatched before.
    pub(super) fn run_first(&mut self, key: ObjectKey) {
        let sequence = self.state.sequences.get(&key);
        let Some(sequence) = sequence.filter(|sequence| sequence.quiesced_until <= self.now) else { return };
        let Some(&first) = sequence.requests.front() else {
            self.state.sequences.remove(&key);
            return;
        };
        if self.state.requests.get(&first).is_some_and(|pending| pending.attempts == 0) {
            self.enqueue(first, Position::ByPriority);
        }
    }
}
