//! Retries by the gateway and by clients.
//!
//! - `idempotency`: at which nodes a request may be executed again without taking effect twice.
//! - `retry_budget`: how many retries this host may dispatch.
//! - `eligibility`: whether a request gets another attempt.
//! - `retry_after`: when the client of a rejected request should retry.

pub mod eligibility;
pub mod idempotency;
pub mod retry_after;
pub mod retry_budget;
