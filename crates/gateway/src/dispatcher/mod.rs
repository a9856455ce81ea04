//! The dispatcher connects clients, nodes and the scheduler. It is independent of sockets and wire
//! formats.
//!
//! It reports requests, attempts and endpoint lists to the scheduler as events, and translates the
//! scheduler's actions into commands for the event loop. It ensures that each request gets exactly
//! one final response and that no attempt is written to a node that has been draining for too long.
//! It also counts the service that each volume gets.
//!
//! [`Dispatcher`] is declared in `state`. Its methods are grouped by task: `endpoints` applies
//! endpoint lists, `submit` accepts requests, `scheduling` calls the scheduler, `attempts` starts
//! and completes attempts, and `responses` completes requests.

mod abort_cause;
mod attempts;
mod command;
mod endpoints;
mod executed_requests;
mod node_registry;
mod node_state;
mod responses;
mod scheduling;
mod state;
mod submit;
mod table_sizes;
mod unfinished_request;
mod unfinished_requests;
mod volume_counters;

pub use abort_cause::AbortCause;
pub use command::Command;
pub use node_state::NodeState;
pub use state::Dispatcher;
pub use table_sizes::NamedTableSize;
pub use volume_counters::VolumeCounters;
