//! The dispatcher joins clients, nodes and the scheduler, independent of sockets and wire formats.
//!
//! It reports requests, attempts and endpoint lists to the scheduler as events, and turns the
//! scheduler's actions into commands for the event loop. It makes sure that each request gets
//! exactly one final response, prevents new attempts from being written to draining nodes, and
//! counts the service that each volume gets.
//!
//! [`Dispatcher`] is declared in `state`. Its methods are in the module of their task: `submit`
//! accepts requests, `scheduling` calls the scheduler, `attempts` follows attempts, and
//! `responses` ends requests.

mod attempts;
mod command;
mod in_flight_request;
mod in_flight_table;
mod node_state;
mod node_table;
mod responses;
mod scheduling;
mod state;
mod submit;
mod volume_counters;

pub use crate::memory_budget::OVERLOADED_RETRY_AFTER;
pub use crate::storage_request::{
    AttemptResult, InvalidRequest, ObjectEntry, Operation, ReplySlot, RequestParameters, Response,
    ResponseBody, StorageRequest,
};
pub use command::Command;
pub use node_state::NodeState;
pub use state::Dispatcher;
pub use volume_counters::VolumeCounters;
