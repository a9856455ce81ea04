//! Requests, their attempts and their responses, independent of wire formats.
//!
//! The client protocols, the node protocols and the dispatcher exchange these types. This module
//! imports none of the three.

mod attempt;
mod reply_slot;
mod request;
mod response;

pub use attempt::{AttemptId, AttemptLimits, AttemptResult};
pub use reply_slot::{CommandNumber, ReplySlot};
pub use request::{Operation, RequestParameters, StorageRequest, MAX_VALUE_BYTES};
pub use response::{InvalidRequest, ObjectEntry, Response, ResponseBody};
