//! State of a client request from its receipt to its end.
//!
//! - `pending`: a request and its attempts.
//! - `latency_objective`: when a request should be served, and when that is no longer possible.
//! - `shedding`: when a waiting request is rejected, so that its client has time to retry.
//! - `key_ordering`: the order of requests with the same key, in ordered classes.

pub mod key_ordering;
pub mod latency_objective;
mod pending;
pub mod shedding;

pub use pending::{Attempt, UnfinishedRequest};
