//! A request in a volume's queue, with its dmClock tags.

use crate::api::RequestId;

/// Time in seconds since the scheduler started, the unit of all tags.
pub type Seconds = f64;

/// The dmClock tags of a request: its position on a virtual clock for each rate of its volume.
#[derive(Clone, Copy)]
pub struct Tags {
    /// Reservation tag: advances by units over the reserved rate.
    pub reservation: Seconds,
    /// Limit tag: advances by units over the maximum rate.
    pub limit: Seconds,
    /// Share tag: advances by units over the weight; compared with that of other volumes.
    pub share: Seconds,
    /// Nominal tag: advances by units over the provisioned rate; ahead of the time for surplus work.
    pub nominal: Seconds,
}

impl Tags {
    /// Tags before all others, for a flow without any dispatch yet.
    pub const MIN: Tags = Tags { reservation: f64::MIN, limit: f64::MIN, share: f64::MIN, nominal: f64::MIN };
}

/// A request in a flow, with its tags and the service that they account for.
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
    /// Constraint-based: its reservation tag is due.
    Reservation,
    /// Weight-based: it has the smallest share tag of the flows within their limits.
    Weight,
    /// It can no longer meet its latency objective.
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

/// Where a request is inserted into its flow.
#[derive(Clone, Copy, PartialEq)]
pub enum Position {
    /// Before all others.
    Front,
    /// Behind those of the same priority weight.
    ByPriority,
}
