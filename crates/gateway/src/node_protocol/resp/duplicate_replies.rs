//! Detection of duplicate replies.
//!
//! A RESP2 reply has no request id: it belongs to the oldest command without a reply. Some nodes
//! send a reply a second time, some time later. If a later request has been written by then, the
//! duplicate arrives in the place of the reply to that request.
//!
//! A reply whose value equals one of the last [`REMEMBERED_VALUES`] on its connection is therefore
//! held, and a barrier command is sent behind the request. Replies arrive in the order of their
//! commands. If the reply to the barrier is next, the held reply belongs to the request. If a value
//! is next, the held reply was a duplicate. The value belongs to the request, unless it equals a
//! remembered one too: then it is held in place of the other.
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
use std::collections::VecDeque;
use std::hash::BuildHasher;

/// Number of values that are remembered on a connection. A duplicate arrives some milliseconds
/// after its reply, in which a connection carries a few further replies.
const REMEMBERED_VALUES: usize = 16;

/// Recognizes duplicate replies on one connection.
#[derive(Default)]
pub(super) struct DuplicateReplies {
    /// The last different values, oldest first.
    recent: VecDeque<ValueFingerprint>,
    /// A reply that equals a recent one and waits for the reply to the barrier.
    held: Option<AttemptResult>,
    /// Number of barriers that were sent and not replied to. The held reply waits for the last one.
    outstanding_barriers: usize,
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
    /// The reply is held in place of an earlier one, behind whose duplicate the barrier was sent.
    HoldOnly,
}

/// What a reply to a barrier says.
pub(super) enum BarrierVerdict {
    /// The held reply belongs to the request.
    Use(AttemptResult),
    /// Nothing: another reply has already been used for the request behind which the barrier was
    /// sent.
    Skip,
    /// No barrier was sent.
    Unexpected,
}

impl DuplicateReplies {
    /// Decides on a reply that is not the reply to a barrier.
    pub(super) fn judge(&mut self, result: AttemptResult) -> Verdict {
        let fingerprint = ValueFingerprint::of(&result);
        let equals_recent = fingerprint.is_some_and(|value| self.remember(value));
        let is_behind_held = self.held.take().is_some();
        if !equals_recent && is_behind_held {
            return Verdict::Use(without_promise(result));
        }
        if !equals_recent {
            return Verdict::Use(result);
        }
        self.held = Some(result);
        if is_behind_held {
            return Verdict::HoldOnly;
        }
        self.outstanding_barriers += 1;
        Verdict::SendBarrier
    }

    /// Remembers a value. Returns whether it equals a remembered one.
    fn remember(&mut self, value: ValueFingerprint) -> bool {
        let position = self.recent.iter().position(|recent| *recent == value);
        if let Some(position) = position {
            self.recent.remove(position);
        }
        self.recent.push_back(value);
        if self.recent.len() > REMEMBERED_VALUES {
            self.recent.pop_front();
        }
        position.is_some()
    }

    /// Handles a reply to a barrier.
    pub(super) fn finish_barrier(&mut self) -> BarrierVerdict {
        if self.outstanding_barriers == 0 {
            return BarrierVerdict::Unexpected;
        }
        self.outstanding_barriers -= 1;
        if self.outstanding_barriers > 0 {
            return BarrierVerdict::Skip;
        }
        match self.held.take() {
            Some(held) => BarrierVerdict::Use(held),
            None => BarrierVerdict::Skip,
        }
    }

    /// Returns whether a barrier was sent and no reply to it has arrived.
    pub(super) fn is_barrier_outstanding(&self) -> bool {
        self.outstanding_barriers > 0
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
