//! Connections to storage nodes, in one pool per node.
//!
//! `NodeConnections` owns all of them. A method that takes a `NodeConnection` by value expects the
//! caller to have removed it with `NodeConnections::take`. Before it returns, the method either
//! stores the connection again or drops it.

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
