//! Detection of duplicate replies.
//!
//! A RESP2 reply has no request id: it belongs to the oldest command without a reply. Some nodes
//! send a reply a second time, some time later. If the next request has been written by then, the
//! duplicate arrives in the place of the reply to that request.
//!
//! A reply whose value equals the previous one on its connection is therefore held, and a barrier
//! command is sent behind the request. Replies arrive in the order of their commands. If the reply
//! to the barrier is next, the held reply belongs to the request. If a value is next, the held
//! reply was a duplicate, and the value belongs to the request.
//!
//! If an error is next, it may be either the reply to the request or that to the barrier, because a
//! node that rejects everything rejects the barrier, too. The request may then have been executed.
//! The reply to the barrier may still arrive; it differs from every reply to a request and is
//! skipped.
//!
//! Errors and rejections are not held: nodes send only values twice, and an error is often the
//! reply to several requests in a row.

use crate::storage_request::{AttemptResult, ResponseBody};
use foldhash::fast::FixedState;
use io_scheduler::Outcome;
use std::hash::BuildHasher;

/// Recognizes duplicate replies on one connection.
#[derive(Default)]
pub(super) struct DuplicateReplies {
    /// The value of the last reply; `None` if it had none, and on a new connection.
    previous: Option<ValueFingerprint>,
    /// A reply that equals the previous one and waits for the reply to the barrier.
    held: Option<AttemptResult>,
    /// Whether a barrier was sent and no reply to it has arrived.
    is_barrier_outstanding: bool,
}

/// What is remembered of a value. Equal values have equal fingerprints; the opposite need not hold.
///
/// The reports of a reply are left out, since they may differ between the reply and its duplicate.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct ValueFingerprint {
    /// Length in bytes.
    length: usize,
    /// Hash of the bytes.
    hash: u64,
}

impl ValueFingerprint {
    /// Returns the fingerprint of a reply's value; `None` if it has none.
    fn of(result: &AttemptResult) -> Option<ValueFingerprint> {
        let value = value_of(result)?;
        Some(ValueFingerprint {
            length: value.len(),
            hash: FixedState::default().hash_one(value),
        })
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
        let fingerprint = ValueFingerprint::of(&result);
        let equals_previous = fingerprint.is_some() && fingerprint == self.previous;
        self.previous = fingerprint;
        if self.held.take().is_some() {
            return Verdict::Use(without_promise(result));
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

/// Returns the result of a request whose held reply is followed by this one. A rejection may be the
/// reply to the barrier, so that it does not promise that the request was not executed.
fn without_promise(next: AttemptResult) -> AttemptResult {
    let outcome = match next.outcome {
        Outcome::Overloaded => Outcome::Error,
        other => other,
    };
    AttemptResult { outcome, ..next }
}

/// Returns the value of a reply, if it has one.
fn value_of(result: &AttemptResult) -> Option<&[u8]> {
    match &result.body {
        Some(ResponseBody::Value(value)) => Some(value),
        _ => None,
    }
}
