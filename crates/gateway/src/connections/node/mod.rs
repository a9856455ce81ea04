//! Connections to storage nodes.

pub mod idle_timeout;
