//! A request that a client waits for, or that still has attempts in flight.

use crate::api::{Micros, NodeId, Request, RequestClass, Shard};

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

    /// Removes an attempt from those in flight.
    pub fn take_attempt(&mut self, number: u32) -> Option<Attempt> {
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
