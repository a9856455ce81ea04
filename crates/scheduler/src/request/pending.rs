//! The record of a request that a client waits for, or that still has attempts in flight.

use crate::api::{Micros, NodeId, ObjectKey, Request, RequestClass, Shard};

/// One dispatch of a request to a node.
#[derive(Clone, Copy)]
pub struct Attempt {
    /// Number among the attempts of the request, from 0.
    pub number: u32,
    /// The node it went to.
    pub node: NodeId,
    /// When it was dispatched.
    pub dispatched_at: Micros,
}

/// A request from its receipt until it is closed and its attempts have completed.
pub struct PendingRequest {
    /// The request as received.
    request: Request,
    /// Its class.
    class: RequestClass,
    /// Expected latency for its size, as a multiple of the latency of a request of mean size.
    relative_latency: f64,
    /// When its latency objective ends; at most its deadline.
    objective_at: Micros,
    /// When it is rejected, if it is still open then and is not postponed (`shedding`).
    reject_at: Micros,
    /// Whether it has no final response yet.
    is_open: bool,
    /// Attempts dispatched so far.
    attempts: u32,
    /// Attempts that have not completed.
    in_flight: Vec<Attempt>,
    /// The earliest completed attempt that the node may have executed or may still be executing.
    first_maybe_executed: Option<Attempt>,
    /// The shard whose queue holds it.
    queue_shard: Option<Shard>,
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
            is_open: true,
            attempts: 0,
            in_flight: Vec::new(),
            first_maybe_executed: None,
            queue_shard: None,
        }
    }

    /// The request as received.
    pub fn request(&self) -> &Request {
        &self.request
    }

    /// Its class.
    pub fn class(&self) -> &RequestClass {
        &self.class
    }

    /// Expected latency for its size, as a multiple of the latency of a request of mean size.
    pub fn relative_latency(&self) -> f64 {
        self.relative_latency
    }

    /// When its latency objective ends; at most its deadline.
    pub fn objective_at(&self) -> Micros {
        self.objective_at
    }

    /// When it is rejected, if it is still open then and is not postponed (`shedding`).
    pub fn reject_at(&self) -> Micros {
        self.reject_at
    }

    /// Postpones its rejection.
    pub fn postpone_rejection(&mut self, reject_at: Micros) {
        self.reject_at = reject_at;
    }

    /// Whether it has no final response yet.
    pub fn is_open(&self) -> bool {
        self.is_open
    }

    /// Marks it as having its final response.
    pub fn close(&mut self) {
        self.is_open = false;
    }

    /// Attempts dispatched so far.
    pub fn attempts(&self) -> u32 {
        self.attempts
    }

    /// Attempts that have not completed.
    pub fn in_flight(&self) -> &[Attempt] {
        &self.in_flight
    }

    /// The earliest completed attempt that the node may have executed or may still be executing.
    pub fn first_maybe_executed(&self) -> Option<Attempt> {
        self.first_maybe_executed
    }

    /// Counts an attempt and adds it to those in flight.
    pub fn start_attempt(&mut self, node: NodeId, now: Micros) {
        self.in_flight.push(Attempt {
            number: self.attempts,
            node,
            dispatched_at: now,
        });
        self.attempts += 1;
    }

    /// Removes an attempt from those in flight. `may_have_executed` says whether the node may have
    /// executed it or may still be executing it.
    pub fn complete_attempt(&mut self, number: u32, may_have_executed: bool) -> Option<Attempt> {
        let index = self
            .in_flight
            .iter()
            .position(|attempt| attempt.number == number)?;
        let attempt = self.in_flight.remove(index);
        if may_have_executed {
            self.first_maybe_executed.get_or_insert(attempt);
        }
        Some(attempt)
    }

    /// Notes the shard whose queue it joined.
    pub fn enqueue(&mut self, shard: Shard) {
        self.queue_shard = Some(shard);
    }

    /// Notes that it leaves the queue that holds it; returns its shard.
    pub fn dequeue(&mut self) -> Option<Shard> {
        self.queue_shard.take()
    }

    /// The key by which it is ordered; `None` if its class is not ordered or it has no key.
    pub fn ordering_key(&self) -> Option<ObjectKey> {
        if self.class.ordered {
            self.request.key
        } else {
            None
        }
    }

    /// Whether it is open and not queued.
    pub fn can_be_enqueued(&self) -> bool {
        self.is_open && self.queue_shard.is_none()
    }

    /// Whether it is open and has no attempt in flight.
    pub fn needs_attempt(&self) -> bool {
        self.is_open && self.in_flight.is_empty()
    }

    /// Whether it is closed and has no attempt in flight.
    pub fn is_finished(&self) -> bool {
        !self.is_open && self.in_flight.is_empty()
    }

    /// Whether an attempt may have been executed, or is in flight and may still be.
    pub fn may_have_executed(&self) -> bool {
        self.first_maybe_executed.is_some() || !self.in_flight.is_empty()
    }
}
