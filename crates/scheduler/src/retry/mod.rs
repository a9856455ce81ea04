//! Which requests may be executed again, by a retry of the gateway or of the client.
//!
//! - `idempotency`: where a request may be executed again without taking effect twice.
//! - `retry_budget`: how many retries this host may dispatch.
//! - `eligibility`: whether a request gets a further attempt.
//! - `retry_after`: when a client whose request is rejected should retry.

pub mod eligibility;
pub mod idempotency;
pub mod retry_after;
pub mod retry_budget;
