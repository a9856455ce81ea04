//! A request that a client waits for, or that still has attempts in flight.

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
    pub request: Request,
    /// Its class.
    pub class: RequestClass,
    /// Expected latency for its size, as a multiple of the latency of a request of mean size.
    pub relative_latency: f64,
    /// When its latency objective ends; at most its deadline.
    pub objective_at: Micros,
    /// When it is rejected, if it is still open then.
    pub reject_at: Micros,
    /// It has no final response yet.
    pub open: bool,
    /// Attempts dispatched so far.
    pub attempts: u32,
    /// Attempts that have not completed.
    pub in_flight: Vec<Attempt>,
    /// The earliest completed attempt that the node may have executed or may still be executing.
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

    /// Counts an attempt and adds it to those in flight.
    pub fn start_attempt(&mut self, node: NodeId, now: Micros) {
        self.in_flight.push(Attempt { number: self.attempts, node, dispatched_at: now });
        self.attempts += 1;
    }

    /// Removes an attempt from those in flight.
    pub fn take_attempt(&mut self, number: u32) -> Option<Attempt> {
        let index = self.in_flight.iter().position(|attempt| attempt.number == number)?;
        Some(self.in_flight.remove(index))
    }

    /// The key by which it is ordered; `None` if its class is not ordered or it has no key.
    pub fn ordering_key(&self) -> Option<ObjectKey> {
        self.request.key.filter(|_| self.class.ordered)
    }

    /// Whether it is open and not queued.
    pub fn is_waiting(&self) -> bool {
        self.open && self.queued_at.is_none()
    }

    /// Whether it is closed and has nothing in flight.
    pub fn is_over(&self) -> bool {
        !self.open && self.in_flight.is_empty()
    }

    /// Whether an attempt may have been executed, or is in flight and may still be.
    pub fn may_have_executed(&self) -> bool {
        self.first_executed.is_some() || !self.in_flight.is_empty()
    }
}
