//! Detection of duplicate replies.
//!
//! A RESP2 reply has no request id: it belongs to the oldest command without a reply. Some nodes
//! send a reply a second time, some time later. If the next request has been written by then, the
//! duplicate arrives in the place of the reply to that request.
//!
//! A reply that equals the previous one on its connection is therefore held, and a barrier command
//! is sent behind the request. Replies arrive in the order of their commands. If the reply to the
//! barrier is next, the held reply belongs to the request. If a value is next, the held reply was a
//! duplicate, and the value belongs to the request.
//!
//! If an error is next, it may be either the reply to the request or that to the barrier, because a
//! node that rejects everything rejects the barrier, too. The request may then have been executed,
//! unless both replies are rejections. The reply to the barrier may still arrive; it differs from
//! every reply to a request and is skipped.

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
    /// Whether a barrier was sent and no reply to it has arrived.
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

/// What a reply to a barrier says.
pub(super) enum BarrierVerdict {
    /// The held reply belongs to the request.
    Use(AttemptResult),
    /// Nothing: another reply has already been used for the request.
    Skip,
    /// No barrier was sent.
    Unexpected,
}

impl DuplicateReplies {
    /// Decides on a reply that is not the reply to a barrier.
    pub(super) fn judge(&mut self, result: AttemptResult) -> Verdict {
        let fingerprint = Fingerprint::of(&result);
        let equals_previous = self.previous.replace(fingerprint) == Some(fingerprint);
        if let Some(held) = self.held.take() {
            return Verdict::Use(combine(&held, result));
        }
        if !equals_previous {
            return Verdict::Use(result);
        }
        self.held = Some(result);
        self.is_barrier_outstanding = true;
        Verdict::SendBarrier
    }

    /// Handles a reply to a barrier.
    pub(super) fn finish_barrier(&mut self) -> BarrierVerdict {
        if !std::mem::take(&mut self.is_barrier_outstanding) {
            return BarrierVerdict::Unexpected;
        }
        match self.held.take() {
            Some(held) => BarrierVerdict::Use(held),
            None => BarrierVerdict::Skip,
        }
    }

    /// Returns whether a barrier was sent and no reply to it has arrived.
    pub(super) fn is_barrier_outstanding(&self) -> bool {
        self.is_barrier_outstanding
    }

    /// Returns the length in bytes of the held value.
    pub(super) fn held_bytes(&self) -> usize {
        let value = self.held.as_ref().and_then(value_of);
        value.map_or(0, <[u8]>::len)
    }
}

/// Returns the result of a request after a held reply and another one that is not the reply to the
/// barrier.
fn combine(held: &AttemptResult, next: AttemptResult) -> AttemptResult {
    if next.outcome == Outcome::Served || next.outcome == held.outcome {
        return next;
    }
    AttemptResult {
        outcome: Outcome::Error,
        ..next
    }
}

/// Returns the value of a reply, if it has one.
fn value_of(result: &AttemptResult) -> Option<&[u8]> {
    match &result.body {
        Some(ResponseBody::Value(value)) => Some(value),
        _ => None,
    }
}
