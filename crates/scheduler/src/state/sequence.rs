//! The requests of one key.

use crate::api::{Micros, RequestId};
use std::collections::VecDeque;

/// Requests of one key in the order of their receipt; the first may run when the quiesce period is over.
#[derive(Default)]
pub struct Sequence {
    /// Those that are not over.
    pub requests: VecDeque<RequestId>,
    /// Until then an attempt that ended without a response may still be executing.
    pub quiesced_until: Micros,
}
