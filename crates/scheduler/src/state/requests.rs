//! Requests that clients wait for, or that still have attempts in flight.

use super::DeadlineQueue;
use crate::api::{Micros, NodeId, Request, RequestClass, RequestId, Shard};
use std::collections::{BTreeMap, BTreeSet};

/// One dispatch of a request to a node.
#[derive(Clone, Copy)]
pub struct Attempt {
    /// Number among the attempts of the request, from 0.
    pub number: u32,
    /// The node it went to.
    pub node: NodeId,
    /// When it was dispatched.
    pub dispatched_at: Micros,
    /// Latency objective of the request's class.
    pub latency_objective: Micros,
    /// Latency that the request's size lets expect, as a multiple of that of mean size.
    pub relative_latency: f64,
}

/// A request from its receipt until it is closed and its attempts have completed.
pub struct PendingRequest {
    /// The request as received.
    pub request: Request,
    /// Its class.
    pub class: RequestClass,
    /// Latency that its size lets expect, as a multiple of that of mean size.
    pub relative_latency: f64,
    /// When its latency objective passes.
    pub objective_at: Micros,
    /// When it is rejected, if it is still open then.
    pub reject_at: Micros,
    /// It has no final response yet.
    pub open: bool,
    /// Attempts dispatched so far.
    pub attempts: u32,
    /// Attempts that have not completed.
    pub in_flight: Vec<Attempt>,
    /// The first attempt that may have been executed.
    pub first_executed: Option<Attempt>,
    /// The shard whose queue holds it.
    pub queued_at: Option<Shard>,
}

impl PendingRequest {
    /// A request just received.
    pub fn new(
        request: &Request,
        class: &RequestClass,
        relative_latency: f64,
        objective_at: Micros,
        reject_at: Micros,
    ) -> Self {
        PendingRequest {
            request: request.clone(),
            class: class.clone(),
            relative_latency,
            objective_at,
            reject_at,
            open: true,
            attempts: 0,
            in_flight: Vec::new(),
            first_executed: None,
            queued_at: None,
        }
    }

    /// Counts an attempt as in flight.
    pub fn start_attempt(&mut self, node: NodeId, now: Micros) {
        self.in_flight.push(Attempt {
            number: self.attempts,
            node,
            dispatched_at: now,
            latency_objective: self.class.latency_objective,
            relative_latency: self.relative_latency,
        });
        self.attempts += 1;
    }

    /// Removes an attempt that has completed from those in flight.
    pub fn complete_attempt(&mut self, number: u32) -> Option<Attempt> {
        let index = self.in_flight.iter().position(|attempt| attempt.number == number)?;
        Some(self.in_flight.remove(index))
    }

    /// Whether it is open and in no queue.
    pub fn is_waiting(&self) -> bool {
        self.open && self.queued_at.is_none()
    }

    /// Whether it is closed and has nothing in flight.
    pub fn is_over(&self) -> bool {
        !self.open && self.in_flight.is_empty()
    }

    /// Whether a node has executed it, or may have done so or be about to.
    pub fn may_have_executed(&self) -> bool {
        self.first_executed.is_some() || !self.in_flight.is_empty()
    }
}

/// All pending requests, with a queue of the times at which open ones are rejected.
#[derive(Default)]
pub struct RequestTable {
    requests: BTreeMap<RequestId, PendingRequest>,
    deadlines: DeadlineQueue<RequestId>,
    /// Open requests that no node can take at present.
    pub unroutable: BTreeSet<RequestId>,
}

impl RequestTable {
    /// A request.
    pub fn get(&self, id: RequestId) -> Option<&PendingRequest> {
        self.requests.get(&id)
    }

    /// A request, to change it; its `reject_at` is changed by [`Self::postpone`] only.
    pub fn get_mut(&mut self, id: RequestId) -> Option<&mut PendingRequest> {
        self.requests.get_mut(&id)
    }

    /// All requests.
    pub fn iter(&self) -> impl Iterator<Item = &PendingRequest> {
        self.requests.values()
    }

    /// Adds an open request.
    pub fn insert(&mut self, pending: PendingRequest) {
        self.deadlines.insert(pending.reject_at, pending.request.id);
        self.requests.insert(pending.request.id, pending);
    }

    /// Closes a request: its time of rejection does not count any more.
    pub fn close(&mut self, id: RequestId) {
        if let Some(pending) = self.requests.get_mut(&id) {
            pending.open = false;
            self.deadlines.remove(pending.reject_at, id);
        }
    }

    /// Forgets a request that is closed.
    pub fn remove(&mut self, id: RequestId) {
        self.requests.remove(&id);
    }

    /// The open request whose time of rejection comes first, if that has passed; it has none afterwards.
    pub fn pop_expired(&mut self, now: Micros) -> Option<&mut PendingRequest> {
        let id = self.deadlines.pop_expired(now)?;
        self.requests.get_mut(&id)
    }

    /// Gives a request another time of rejection after [`Self::pop_expired`].
    pub fn postpone(&mut self, id: RequestId, reject_at: Micros) {
        if let Some(pending) = self.requests.get_mut(&id) {
            pending.reject_at = reject_at;
            self.deadlines.insert(reject_at, id);
        }
    }

    /// The earliest time of rejection.
    pub fn next_deadline(&self) -> Option<Micros> {
        self.deadlines.next_deadline()
    }
}
