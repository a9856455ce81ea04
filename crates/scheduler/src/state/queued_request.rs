//! A request in a volume's queue, with its dmClock tags.

use crate::api::RequestId;

/// Time since the scheduler started, the unit of all tags.
pub type Seconds = f64;

/// The virtual clocks of a request.
#[derive(Clone, Copy)]
pub struct Tags {
    /// Clock of the reserved rate.
    pub reservation: Seconds,
    /// Clock of the rate that must not be passed.
    pub limit: Seconds,
    /// Clock of the weight, relative to that of other volumes.
    pub share: Seconds,
    /// Clock of the rate that the volume is provisioned for.
    pub nominal: Seconds,
}

impl Tags {
    /// Before all others.
    pub const MIN: Tags = Tags { reservation: f64::MIN, limit: f64::MIN, share: f64::MIN, nominal: f64::MIN };
}

/// A request in a flow, with the service that its tags count.
pub struct QueuedRequest {
    /// The request.
    pub id: RequestId,
    /// Its tags.
    pub tags: Tags,
    /// When it was queued.
    pub queued_at: Seconds,
    /// Priority weight of its class.
    pub priority_weight: f64,
    /// Units by which the reservation tag advances.
    pub rho: f64,
    /// Units by which the other tags advance.
    pub delta: f64,
}

/// dmClock's phase in which a request is dispatched; an earlier one goes before a later one.
#[derive(Clone, Copy, PartialEq, PartialOrd)]
pub enum Phase {
    /// Its reservation tag is due.
    Reservation,
    /// It has the least share tag of those within their limits.
    Weight,
    /// It can't meet its latency objective any more.
    Late,
}

/// A request that may be dispatched, with the tag by which it competes with others.
pub struct Candidate {
    /// The request.
    pub request: RequestId,
    /// The phase in which it would be dispatched.
    pub phase: Phase,
    /// Its tag for that phase.
    pub tag: Seconds,
}

/// Where a request joins its flow.
#[derive(Clone, Copy, PartialEq)]
pub enum Position {
    /// Before all others.
    Front,
    /// Behind those of the same priority weight.
    ByPriority,
}
