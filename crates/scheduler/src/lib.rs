//! Decides, for one host of a storage gateway, which pending request is dispatched next, to which node, and
//! what is retried, rejected or failed. It follows dmClock: per node and volume a reservation, a limit and a
//! share tag, advanced by the service of all nodes. Due reservation tags go first, then the smallest share
//! tag whose limit tag is due; a concurrency limit for each node bounds the requests in flight there.
//!
//! The library does no I/O and reads no clock: a dispatcher passes it [`Event`]s and carries out the
//! [`Action`]s that it returns.
//!
//! Modules:
//!
//! - `api`: settings, events and actions.
//! - `scheduler`: [`Scheduler`], the event loop. Its submodules make the decisions that need several parts of
//!   the state: dispatch, completion, retry, per-key ordering, admission (slow start, the node for a new
//!   object) and endpoints (polls of the endpoint list, nodes of the shards).
//! - `tags` (dmClock's order), `volumes` (limits, usage and provisioned rates) and `node_health` (latency,
//!   concurrency limit, ejection): decisions about one part of the state.
//! - `state`: records and containers, without any decision.

mod api;
mod hash;
mod node_health;
mod scheduler;
mod state;
mod tags;
mod volumes;

pub use api::*;
pub use scheduler::Scheduler;
