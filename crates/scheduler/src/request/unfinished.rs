//! State of a request that a client waits for or that still has attempts in flight.

use crate::api::{Micros, NodeId, ObjectKey, Request, RequestClass, Shard};

/// One dispatch of a request to a node.
#[derive(Clone, Copy)]
pub struct Attempt {
    /// Number of the attempt within the request, from 0.
    pub number: u32,
    /// Node that the attempt was sent to.
    pub node: NodeId,
    /// Time at which the attempt was dispatched.
    pub dispatched_at: Micros,
}

/// A request, from its receipt until it is closed and all its attempts have completed.
pub struct UnfinishedRequest {
    /// The request as received.
    request: Request,
    /// Class of the request.
    class: RequestClass,
    /// Expected latency for the request's size, as a multiple of that of a request of mean size
    /// (`node::latency_estimate`).
    relative_latency: f64,
    /// End of the latency objective; not later than the deadline.
    objective_ends_at: Micros,
    /// Time at which the request is rejected, if it is still open and its rejection is not
    /// postponed (`shedding`).
    reject_at: Micros,
    /// Whether the request has no final response yet.
    is_open: bool,
    /// Number of attempts dispatched so far.
    attempts: u32,
    /// Attempts that have not completed.
    in_flight: Vec<Attempt>,
    /// Of the completed attempts that a node may have executed or may still be executing, the one
    /// that completed first.
    first_possibly_executed: Option<Attempt>,
    /// Shard in whose queue the request is; `None` if it is not queued.
    queue_shard: Option<Shard>,
}

impl UnfinishedRequest {
    /// Creates the state of a request that was just received.
    pub fn new(
        request: &Request,
        class: &RequestClass,
        relative_latency: f64,
        objective_ends_at: Micros,
        reject_at: Micros,
    ) -> Self {
        UnfinishedRequest {
            request: request.clone(),
            class: class.clone(),
            relative_latency,
            objective_ends_at,
            reject_at,
            is_open: true,
            attempts: 0,
            in_flight: Vec::new(),
            first_possibly_executed: None,
            queue_shard: None,
        }
    }

    /// Returns the request as received.
    pub fn request(&self) -> &Request {
        &self.request
    }

    /// Returns the class of the request.
    pub fn class(&self) -> &RequestClass {
        &self.class
    }

    /// Returns the latency expected for the request's size, as a multiple of that of a request of
    /// mean size.
    pub fn relative_latency(&self) -> f64 {
        self.relative_latency
    }

    /// Returns the end of the latency objective, which is not later than the deadline.
    pub fn objective_ends_at(&self) -> Micros {
        self.objective_ends_at
    }

    /// Returns the time at which the request is rejected, if it is still open and its rejection is
    /// not postponed (`shedding`).
    pub fn reject_at(&self) -> Micros {
        self.reject_at
    }

    /// Moves the deadline, the end of the latency objective and the rejection to `deadline` if they
    /// are later.
    pub fn limit_deadline(&mut self, deadline: Micros) {
        self.request.deadline = self.request.deadline.min(deadline);
        self.objective_ends_at = self.objective_ends_at.min(deadline);
        self.reject_at = self.reject_at.min(deadline);
    }

    /// Postpones the rejection until `reject_at`.
    pub fn postpone_rejection(&mut self, reject_at: Micros) {
        self.reject_at = reject_at;
    }

    /// Returns whether the request has no final response yet.
    pub fn is_open(&self) -> bool {
        self.is_open
    }

    /// Marks the request as having its final response.
    pub fn close(&mut self) {
        self.is_open = false;
    }

    /// Returns the number of attempts dispatched so far.
    pub fn attempts(&self) -> u32 {
        self.attempts
    }

    /// Returns the attempts that have not completed.
    pub fn in_flight(&self) -> &[Attempt] {
        &self.in_flight
    }

    /// Returns the attempt that completed first among those that a node may have executed or may
    /// still be executing; attempts in flight are not considered.
    pub fn first_possibly_executed(&self) -> Option<Attempt> {
        self.first_possibly_executed
    }

    /// Adds an attempt to those in flight.
    pub fn start_attempt(&mut self, node: NodeId, now: Micros) {
        self.in_flight.push(Attempt {
            number: self.attempts,
            node,
            dispatched_at: now,
        });
        self.attempts += 1;
    }

    /// Removes an attempt from those in flight. `may_have_executed` states whether the node may
    /// have executed the attempt or may still be executing it. Returns `None` if no attempt with
    /// this number is in flight.
    pub fn complete_attempt(&mut self, number: u32, may_have_executed: bool) -> Option<Attempt> {
        let index = self
            .in_flight
            .iter()
            .position(|attempt| attempt.number == number)?;
        let attempt = self.in_flight.remove(index);
        if may_have_executed {
            self.first_possibly_executed.get_or_insert(attempt);
        }
        Some(attempt)
    }

    /// Records the shard to whose queue the request was added.
    pub fn mark_queued(&mut self, shard: Shard) {
        self.queue_shard = Some(shard);
    }

    /// Records that the request is removed from its queue; returns the shard of that queue.
    pub fn mark_dequeued(&mut self) -> Option<Shard> {
        self.queue_shard.take()
    }

    /// Returns the key by which the request is ordered, or `None` if its class is not ordered or it
    /// names no object.
    pub fn ordering_key(&self) -> Option<ObjectKey> {
        if self.class.ordered {
            self.request.key
        } else {
            None
        }
    }

    /// Returns whether the request is open and not queued.
    pub fn can_be_enqueued(&self) -> bool {
        self.is_open && self.queue_shard.is_none()
    }

    /// Returns whether the request is open and has no attempt in flight.
    pub fn needs_attempt(&self) -> bool {
        self.is_open && self.in_flight.is_empty()
    }

    /// Returns whether the request is closed and has no attempt in flight.
    pub fn is_finished(&self) -> bool {
        !self.is_open && self.in_flight.is_empty()
    }

    /// Returns whether an attempt may have an effect at a node: a node may have executed a
    /// completed attempt, or an attempt is in flight.
    pub fn may_have_effect(&self) -> bool {
        self.first_possibly_executed.is_some() || !self.in_flight.is_empty()
    }
}
