//! The dispatcher joins clients, nodes and the scheduler, independent of sockets and wire formats.
//!
//! It reports requests, attempts and endpoint lists to the scheduler as events, and turns the
//! scheduler's actions into commands for the event loop. It makes sure that each request gets
//! exactly one final response, prevents new attempts from being written to draining nodes, and
//! counts the service that each volume gets.
//!
//! [`Dispatcher`] is declared in `state`. Its methods are in the module of their task: `endpoints`
//! applies the endpoint list, `submit` accepts requests, `scheduling` calls the scheduler,
//! `attempts` follows attempts, and `responses` ends requests.

mod abort_cause;
mod attempts;
mod command;
mod endpoints;
mod node_registry;
mod node_state;
mod responses;
mod scheduling;
mod state;
mod submit;
mod unfinished_request;
mod unfinished_requests;
mod volume_counters;

pub use abort_cause::AbortCause;
pub use command::Command;
pub use node_state::NodeState;
pub use state::Dispatcher;
pub use volume_counters::VolumeCounters;
