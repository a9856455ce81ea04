//! The requests in flight, with their attempts at nodes.

use super::{ReplySlot, StorageRequest};
use crate::memory_budget::MemoryBudget;
use crate::timer_queue::AttemptId;
use io_scheduler::{Micros, NodeId, RequestId};
use std::collections::{HashMap, HashSet};
use std::sync::Arc;

/// An attempt whose result is awaited.
#[derive(Debug)]
pub(super) struct InFlightAttempt {
    /// Number of the attempt within its request, from 0.
    number: u32,
    /// The node it was dispatched to.
    pub(super) node: NodeId,
    /// When it was dispatched.
    pub(super) dispatched_at: Micros,
    /// When it times out.
    pub(super) deadline: Micros,
    /// Whether enough of the request was written for it to take effect at the node.
    pub(super) may_have_run: bool,
}

/// A request that awaits its final response or the result of an attempt.
#[derive(Debug)]
pub(super) struct InFlightRequest {
    storage_request: Arc<StorageRequest>,
    /// Where the final response goes; `None` once it was sent or the client has disconnected.
    reply_slot: Option<ReplySlot>,
    /// See [`InFlightRequest::deadline`].
    deadline: Micros,
    /// The attempts whose results are awaited, in the order in which they started.
    attempts: Vec<InFlightAttempt>,
    /// Number of attempts started so far, and so the number of the next attempt.
    attempts_started: u32,
    /// Whether the attempt that ended last has timed out.
    last_attempt_timed_out: bool,
}

impl InFlightRequest {
    /// The request as the client sent it.
    pub(super) fn storage_request(&self) -> &Arc<StorageRequest> {
        &self.storage_request
    }

    /// The latest time to send the final response, so that it reaches the client in time.
    pub(super) fn deadline(&self) -> Micros {
        self.deadline
    }

    /// Whether the client still waits for the final response.
    pub(super) fn awaits_response(&self) -> bool {
        self.reply_slot.is_some()
    }

    /// Takes the reply slot for the final response. Returns it once only, so that there is only one response.
    pub(super) fn take_reply_slot(&mut self) -> Option<ReplySlot> {
        self.reply_slot.take()
    }

    /// Whether a failure at the time `now` is reported to the client as a timeout.
    pub(super) fn has_timed_out(&self, now: Micros) -> bool {
        self.last_attempt_timed_out || self.deadline <= now
    }

    /// Adds an attempt and returns its number.
    pub(super) fn start_attempt(&mut self, node: NodeId, now: Micros, deadline: Micros) -> u32 {
        let number = self.attempts_started;
        self.attempts_started += 1;
        self.attempts.push(InFlightAttempt {
            number,
            node,
            dispatched_at: now,
            deadline,
            may_have_run: false,
        });
        number
    }

    /// Removes an attempt that has ended.
    pub(super) fn remove_attempt(
        &mut self,
        number: u32,
        timed_out: bool,
    ) -> Option<InFlightAttempt> {
        let position = self
            .attempts
            .iter()
            .position(|attempt| attempt.number == number)?;
        self.last_attempt_timed_out = timed_out;
        Some(self.attempts.remove(position))
    }

    /// Numbers of the attempts of which not enough was written to take effect at their node.
    pub(super) fn unwritten_attempts(&self) -> Vec<u32> {
        let unwritten = self.attempts.iter().filter(|attempt| !attempt.may_have_run);
        unwritten.map(|attempt| attempt.number).collect()
    }

    /// Whether neither the client nor an attempt needs the request any more.
    fn is_finished(&self) -> bool {
        !self.awaits_response() && self.attempts.is_empty()
    }
}

/// The requests in flight, within the bounds of the memory budget.
#[derive(Debug)]
pub(super) struct InFlightTable {
    requests: HashMap<RequestId, InFlightRequest>,
    /// The client request ids of `requests`.
    client_request_ids: HashSet<Box<str>>,
    /// Number of the next request id.
    next_id: u64,
    /// Total size of the bodies of `requests`, in bytes.
    buffered_body_bytes: usize,
    /// Bounds the number of `requests` and the size of their bodies.
    budget: MemoryBudget,
}

impl InFlightTable {
    /// An empty table.
    pub(super) fn new(budget: MemoryBudget) -> InFlightTable {
        InFlightTable {
            requests: HashMap::new(),
            client_request_ids: HashSet::new(),
            next_id: 0,
            buffered_body_bytes: 0,
            budget,
        }
    }

    /// A request id that was never used before.
    pub(super) fn allocate_id(&mut self) -> RequestId {
        let id = RequestId(self.next_id);
        self.next_id += 1;
        id
    }

    /// Whether a request with this client request id is in flight.
    pub(super) fn contains_client_request_id(&self, client_request_id: &str) -> bool {
        self.client_request_ids.contains(client_request_id)
    }

    /// Whether the memory budget allows one more request with a body of this many bytes.
    pub(super) fn has_capacity(&self, body_bytes: usize) -> bool {
        self.requests.len() < self.budget.max_requests
            && self.buffered_body_bytes + body_bytes <= self.budget.request_body_bytes
    }

    /// Adds a request whose client request id is not in flight.
    pub(super) fn insert(
        &mut self,
        id: RequestId,
        request: StorageRequest,
        reply_slot: ReplySlot,
        deadline: Micros,
    ) {
        self.buffered_body_bytes += request.body.len();
        self.client_request_ids
            .insert(request.client_request_id.clone());
        let in_flight = InFlightRequest {
            storage_request: Arc::new(request),
            reply_slot: Some(reply_slot),
            deadline,
            attempts: Vec::new(),
            attempts_started: 0,
            last_attempt_timed_out: false,
        };
        self.requests.insert(id, in_flight);
    }

    /// A request in flight.
    pub(super) fn get(&self, id: RequestId) -> Option<&InFlightRequest> {
        self.requests.get(&id)
    }

    /// A request in flight.
    pub(super) fn get_mut(&mut self, id: RequestId) -> Option<&mut InFlightRequest> {
        self.requests.get_mut(&id)
    }

    /// An attempt whose result is awaited.
    pub(super) fn attempt(&self, id: AttemptId) -> Option<&InFlightAttempt> {
        let request = self.requests.get(&id.request)?;
        request
            .attempts
            .iter()
            .find(|attempt| attempt.number == id.number)
    }

    /// An attempt whose result is awaited.
    pub(super) fn attempt_mut(&mut self, id: AttemptId) -> Option<&mut InFlightAttempt> {
        let request = self.requests.get_mut(&id.request)?;
        request
            .attempts
            .iter_mut()
            .find(|attempt| attempt.number == id.number)
    }

    /// Removes a request that awaits neither a final response nor the result of an attempt.
    pub(super) fn remove_finished(&mut self, id: RequestId) -> Option<InFlightRequest> {
        if !self.requests.get(&id)?.is_finished() {
            return None;
        }
        let removed = self.requests.remove(&id)?;
        self.buffered_body_bytes -= removed.storage_request.body.len();
        self.client_request_ids
            .remove(&removed.storage_request.client_request_id);
        Some(removed)
    }

    /// Number of requests that have no final response yet.
    pub(super) fn awaiting_response_count(&self) -> usize {
        self.requests
            .values()
            .filter(|request| request.awaits_response())
            .count()
    }
}
