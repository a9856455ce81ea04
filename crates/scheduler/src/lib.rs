//! Request scheduler of one host of a storage gateway: it decides which queued request is
//! dispatched next and to which node, and which requests are retried, rejected or failed.
//!
//! Requests are ordered by dmClock. Each request has a reservation tag, a limit tag and a share
//! tag, which advance with the service that its volume receives from all nodes. Requests whose
//! reservation tag is due are dispatched first. After them comes the request with the smallest
//! share tag, among those whose limit tag is due or is ahead of the current time by no more than a
//! burst. A concurrency limit for each node bounds the number of requests in flight at that node.
//!
//! The library does no I/O and reads no clock: the caller passes in [`Event`]s with their time and
//! carries out the [`Action`]s that are returned.
//!
//! # Modules
//!
//! - `api`: the interface, which consists of settings, events, actions, ids and units.
//! - `scheduler`: [`Scheduler`], which takes a batch of events, passes each event to the modules
//!   that own the affected state, and starts attempts as long as nodes have capacity. It defines
//!   the order of these steps; the rules are in the modules below.
//! - `request`: the state of a request from receipt to completion, which includes its latency
//!   objective, load shedding, and the ordering of requests with the same key.
//! - `dmclock`: the dmClock algorithm, with tags, flows, and the phases in which the next request
//!   is selected.
//! - `node`: the state of a node (latency, losses, errors) and the limits derived from it:
//!   concurrency limit, outlier ejection, slow start and attempt timeout.
//! - `volume`: the token bucket that enforces a volume's limit, and the volume's usage across all
//!   hosts and nodes.
//! - `retry`: whether a request may be executed again, and the Retry-After value of a rejected
//!   request.
//! - `endpoints`: applies the endpoint list and decides when to poll for it.
//! - `placement`: chooses the node for a new object.
//! - `collections`, `hash`, `time`: containers, hashes used in place of random numbers, and time
//!   units. They contain no scheduling rules.

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
