//! A soak test of the storage gateway: real gateway processes over loopback, with clients, storage
//! nodes and a discovery service that inject faults by a seeded plan.
//!
//! - [`plan`]: which faults occur when; a seed gives the same plan each time.
//! - [`rig`]: runs a plan and records what clients, nodes and discovery observe.
//! - [`record`]: the records, all on one monotonic clock.
//! - [`judge`]: finds violations of the rules in the records. It does not use the gateway's log.
//! - [`seed`]: runs the plan of a seed and judges it.
//! - [`report`]: the results by seed and by rule, as text and JSON.
#![forbid(unsafe_code)]
#![warn(clippy::missing_docs_in_private_items)]

pub mod arguments;
pub mod judge;
pub mod plan;
pub mod record;
pub mod report;
pub mod rig;
pub mod seed;
