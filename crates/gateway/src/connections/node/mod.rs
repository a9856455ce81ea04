//! Connections to storage nodes, pooled by node.
//!
//! `NodeConnections` owns them. A method that takes a connection by value expects that the
//! caller has taken it out by `NodeConnections::take`; it stores the connection again or drops
//! it before it returns.

mod attempts;
mod closing;
mod connection;
mod events;
pub mod idle_timeout;
mod node_connections;
mod open;
mod pool;

pub(crate) use connection::AttemptSpec;
pub(crate) use node_connections::NodeConnections;
pub(crate) use pool::NodeAddress;
