//! Requests, their attempts and their responses, independent of any wire format.
//!
//! These are the types that the client protocols, the node protocols and the dispatcher exchange.
//! The module is below all three and imports none of them.

mod attempt;
mod reply_slot;
mod request;
mod response;

pub use attempt::{AttemptId, AttemptResult};
pub use reply_slot::{ReplySlot, SlotNumber};
pub use request::{Operation, RequestParameters, StorageRequest, MAX_VALUE_BYTES};
pub use response::{InvalidRequest, ObjectEntry, Response, ResponseBody};
