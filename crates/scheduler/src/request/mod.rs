//! A client's request from its receipt to its end.
//!
//! - `pending`: the record of a request and its attempts.
//! - `latency_objective`: until when it should be served, and when that can no longer be met.
//! - `shedding`: when a request that waits is given up, so that its client can retry in time.
//! - `key_ordering`: which request of an object may run, in classes that are ordered.

pub mod key_ordering;
pub mod latency_objective;
mod pending;
pub mod shedding;

pub use pending::{Attempt, PendingRequest};
