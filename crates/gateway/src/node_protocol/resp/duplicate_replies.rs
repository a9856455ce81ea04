//! Detection of duplicate replies.
//!
//! A RESP2 reply has no request id: it belongs to the oldest command without a reply. Some nodes
//! send a reply a second time, some time later. If the next request has been written by then, the
//! duplicate arrives in the place of the reply to that request.
//!
//! A reply that equals the previous one on its connection is therefore held, and a barrier command
//! is sent behind the request. Replies arrive in the order of their commands. If the reply to the
//! barrier is next, the held reply belongs to the request. If another reply is next, the held one
//! was a duplicate, and the other one belongs to the request.

use crate::storage_request::{AttemptResult, ResponseBody};
use foldhash::fast::FixedState;
use io_scheduler::Outcome;
use std::hash::BuildHasher;

/// Recognizes duplicate replies on one connection.
#[derive(Default)]
pub(super) struct DuplicateReplies {
    /// The last reply that was used for a request; `None` on a new connection.
    previous: Option<Fingerprint>,
    /// A reply that equals the previous one and waits for the reply to the barrier.
    held: Option<AttemptResult>,
    /// Whether the reply to a barrier is outstanding.
    is_barrier_outstanding: bool,
}

/// What is remembered of a reply. Equal replies have equal fingerprints; the opposite need not
/// hold.
///
/// Reports are left out, since they may differ between a reply and its duplicate.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fingerprint {
    /// A value.
    Value {
        /// Length in bytes.
        length: usize,
        /// Hash of the bytes.
        hash: u64,
    },
    /// An error or a rejection.
    NotServed(Outcome),
}

impl Fingerprint {
    /// Returns the fingerprint of a reply.
    fn of(result: &AttemptResult) -> Fingerprint {
        match value_of(result) {
            Some(value) => Fingerprint::Value {
                length: value.len(),
                hash: FixedState::default().hash_one(value),
            },
            None => Fingerprint::NotServed(result.outcome),
        }
    }
}

/// What to do with a reply.
pub(super) enum Verdict {
    /// The reply belongs to the request.
    Use(AttemptResult),
    /// The reply is held. A barrier has to be sent.
    SendBarrier,
}

impl DuplicateReplies {
    /// Decides on a reply that is not the reply to a barrier.
    pub(super) fn judge(&mut self, result: AttemptResult) -> Verdict {
        let fingerprint = Fingerprint::of(&result);
        let equals_previous = self.previous.replace(fingerprint) == Some(fingerprint);
        let is_second_since_barrier = self.held.take().is_some();
        if is_second_since_barrier || !equals_previous {
            return Verdict::Use(result);
        }
        self.held = Some(result);
        self.is_barrier_outstanding = true;
        Verdict::SendBarrier
    }

    /// Handles the reply to a barrier. Returns the held reply, which belongs to the request; `None`
    /// if no reply is held.
    pub(super) fn finish_barrier(&mut self) -> Option<AttemptResult> {
        let held = self.held.take()?;
        self.is_barrier_outstanding = false;
        Some(held)
    }

    /// Returns whether the reply to a barrier is outstanding.
    pub(super) fn is_barrier_outstanding(&self) -> bool {
        self.is_barrier_outstanding
    }

    /// Returns the length in bytes of the held value.
    pub(super) fn held_bytes(&self) -> usize {
        let value = self.held.as_ref().and_then(value_of);
        value.map_or(0, <[u8]>::len)
    }
}

/// Returns the value of a reply, if it has one.
fn value_of(result: &AttemptResult) -> Option<&[u8]> {
    match &result.body {
        Some(ResponseBody::Value(value)) => Some(value),
        _ => None,
    }
}
