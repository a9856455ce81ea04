//! Decides, for one host of a storage gateway, which pending request is dispatched next, to which
//! node, and what is retried, rejected or failed.
//!
//! The order follows dmClock: per node and volume a reservation, a limit and a share tag, advanced
//! by the service of all nodes. Due reservation tags go first, then the smallest share tag whose
//! limit tag is due or ahead by no more than a burst. A concurrency limit for each node bounds the
//! requests in flight there.
//!
//! The library does no I/O and reads no clock: a caller passes it [`Event`]s with their time and
//! carries out the [`Action`]s that it returns.
//!
//! # Modules
//!
//! `api` is the interface: settings, events, actions, ids and units.
//!
//! `scheduler` holds [`Scheduler`], which takes a batch of events, passes each to the owners of the
//! state below, and starts attempts for as long as nodes take them. It has the order of work, but
//! no rule of its own beyond that.
//!
//! `request` follows a request from its receipt to its end: its latency objective, when it is shed,
//! and the order of requests of one key.
//!
//! `dmclock` is the paper's part: tags, flows, and the phases in which the next request is
//! selected.
//!
//! `node` is what is known of a node and what it may be sent: latency, losses and errors,
//! concurrency limit, ejection, slow start and the timeout of an attempt.
//!
//! `volume` has the token bucket that enforces a volume's limit, and its usage over all hosts and
//! nodes.
//!
//! `retry` decides whether a request may be executed again, and what Retry-After a rejected client
//! is given.
//!
//! `endpoints` applies the endpoint list and decides when to poll for it; `placement` chooses the
//! node of a new object.
//!
//! `collections`, `hash` and `time` are containers, hashes in place of random numbers, and units of
//! time; they contain no rule.

#![warn(clippy::missing_docs_in_private_items)]

mod api;
mod collections;
mod dmclock;
mod endpoints;
mod hash;
mod node;
mod placement;
mod request;
mod retry;
mod scheduler;
mod time;
mod volume;

pub use api::*;
pub use scheduler::Scheduler;
