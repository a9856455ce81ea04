//! Decides, for one host of a storage gateway, which pending request is dispatched next, to which node, and
//! what is retried, rejected or failed. It follows dmClock: per node and volume a reservation, a limit and a
//! share tag, advanced by the service of all nodes.
//!
//! The library does no I/O and reads no clock: a dispatcher hands it [`Event`]s and carries out the
//! [`Action`]s that it returns.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod api;
mod endpoints;
mod hash;
mod node_health;
mod scheduler;
mod state;
mod tags;
mod volumes;

pub use api::*;
pub use scheduler::Scheduler;
