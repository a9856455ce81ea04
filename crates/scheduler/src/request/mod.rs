//! State of a client request from its receipt to its end.
//!
//! - `unfinished`: a request and its attempts.
//! - `latency_objective`: when a request should be served, and when that is no longer possible.
//! - `shedding`: when a waiting request is rejected, so that its client has time to retry.
//! - `shutdown`: by when requests must have their response while the host shuts down.
//! - `key_ordering`: the order of requests with the same key, in ordered classes.

pub mod key_ordering;
pub mod latency_objective;
pub mod shedding;
pub mod shutdown;
mod unfinished;

pub use unfinished::{Attempt, UnfinishedRequest};
