//! An unfinished request and its attempts.
//!
//! A request is open until its final response is sent or its client disconnects. It remains
//! unfinished after that while an attempt is still running, because the result of the attempt must
//! be reported to the scheduler.

use crate::storage_request::{ReplySlot, StorageRequest};
use io_scheduler::{Micros, NodeId, Outcome};
use std::sync::Arc;

/// How long after the deadline of a request the dispatcher itself fails it, if the scheduler has
/// not completed it, in microseconds. This leaves the event loop time to handle the scheduler's
/// timer, which expires at the deadline. It must be shorter than
/// `RESPONSE_DELIVERY_MARGIN` in `submit`, so that the response still reaches the client in time.
const OVERDUE_GRACE: Micros = 3_000;

/// An attempt whose result is awaited.
#[derive(Debug)]
pub(super) struct AwaitedAttempt {
    /// Number of the attempt within its request, from 0.
    number: u32,
    /// The node it was dispatched to.
    pub(super) node: NodeId,
    /// When it was dispatched.
    pub(super) dispatched_at: Micros,
    /// When it times out.
    pub(super) times_out_at: Micros,
    /// Whether the node may have executed the request, judged by the number of bytes written. The
    /// threshold is the return value of [`crate::node_protocol::NodeProtocol::encode_request`]; up
    /// to that many bytes, the node cannot have executed the request.
    pub(super) may_have_executed: bool,
}

/// A request that awaits its final response or the result of an attempt; see the [module](self).
#[derive(Debug)]
pub(super) struct UnfinishedRequest {
    /// The request as the client sent it.
    storage_request: Arc<StorageRequest>,
    /// Destination of the final response; `None` once the response was sent or the client has
    /// disconnected.
    reply_slot: Option<ReplySlot>,
    /// The latest time to send the final response for it to reach the client in time.
    response_deadline: Micros,
    /// The attempts whose results are awaited, in the order in which they started.
    attempts: Vec<AwaitedAttempt>,
    /// Number of attempts started so far, which is also the number of the next attempt.
    attempts_started: u32,
    /// Whether the attempt that ended most recently timed out.
    last_attempt_timed_out: bool,
    /// Whether a node may have executed an attempt that has ended.
    may_have_executed: bool,
}

impl UnfinishedRequest {
    /// Creates a request without attempts that needs its final response by `response_deadline`.
    pub(super) fn new(
        request: StorageRequest,
        reply_slot: ReplySlot,
        response_deadline: Micros,
    ) -> UnfinishedRequest {
        UnfinishedRequest {
            storage_request: Arc::new(request),
            reply_slot: Some(reply_slot),
            response_deadline,
            attempts: Vec::new(),
            attempts_started: 0,
            last_attempt_timed_out: false,
            may_have_executed: false,
        }
    }

    /// Returns the request as the client sent it.
    pub(super) fn storage_request(&self) -> &Arc<StorageRequest> {
        &self.storage_request
    }

    /// Returns the time at which the dispatcher itself fails the request if it still has no final
    /// response.
    pub(super) fn overdue_at(&self) -> Micros {
        self.response_deadline + OVERDUE_GRACE
    }

    /// Returns whether the client still waits for the final response.
    pub(super) fn awaits_response(&self) -> bool {
        self.reply_slot.is_some()
    }

    /// Takes the reply slot, to send the final response to it. Later calls return `None`, so that
    /// there is only one response.
    pub(super) fn take_reply_slot(&mut self) -> Option<ReplySlot> {
        self.reply_slot.take()
    }

    /// Returns whether a failure at the time `now` is reported to the client as a timeout.
    pub(super) fn has_timed_out(&self, now: Micros) -> bool {
        self.last_attempt_timed_out || self.response_deadline <= now
    }

    /// Adds an attempt and returns its number.
    pub(super) fn start_attempt(&mut self, node: NodeId, now: Micros, times_out_at: Micros) -> u32 {
        let number = self.attempts_started;
        self.attempts_started += 1;
        self.attempts.push(AwaitedAttempt {
            number,
            node,
            dispatched_at: now,
            times_out_at,
            may_have_executed: false,
        });
        number
    }

    /// Removes an attempt that has ended, and records what its outcome tells. Returns `None` if its
    /// result is not awaited.
    pub(super) fn remove_attempt(
        &mut self,
        number: u32,
        outcome: Outcome,
    ) -> Option<AwaitedAttempt> {
        let position = self
            .attempts
            .iter()
            .position(|attempt| attempt.number == number)?;
        self.last_attempt_timed_out = outcome == Outcome::TimedOut;
        self.may_have_executed |= outcome.may_have_executed();
        Some(self.attempts.remove(position))
    }

    /// Returns the attempt with this number, if its result is awaited.
    pub(super) fn attempt(&self, number: u32) -> Option<&AwaitedAttempt> {
        self.attempts
            .iter()
            .find(|attempt| attempt.number == number)
    }

    /// Returns the attempt with this number, if its result is awaited.
    pub(super) fn attempt_mut(&mut self, number: u32) -> Option<&mut AwaitedAttempt> {
        self.attempts
            .iter_mut()
            .find(|attempt| attempt.number == number)
    }

    /// Returns the numbers of the attempts that their nodes cannot have executed.
    pub(super) fn unexecuted_attempts(&self) -> Vec<u32> {
        let attempts = self.attempts.iter();
        let unexecuted = attempts.filter(|attempt| !attempt.may_have_executed);
        unexecuted.map(|attempt| attempt.number).collect()
    }

    /// Returns whether a node may have executed an attempt that has ended.
    pub(super) fn may_have_executed(&self) -> bool {
        self.may_have_executed
    }

    /// Returns whether the request can be removed: no final response and no result of an attempt is
    /// awaited.
    pub(super) fn is_finished(&self) -> bool {
        !self.awaits_response() && self.attempts.is_empty()
    }
}
