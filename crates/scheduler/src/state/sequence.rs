//! The ordered requests of one key.

use crate::api::{Micros, RequestId};
use std::collections::VecDeque;

/// Requests of one key in the order of their receipt; the first may run once the quiesce period is over.
#[derive(Default)]
pub struct Sequence {
    /// Requests that are open or have attempts in flight.
    pub requests: VecDeque<RequestId>,
    /// End of the quiesce period, in which an attempt without a response may still be executing.
    pub quiesced_until: Micros,
}
