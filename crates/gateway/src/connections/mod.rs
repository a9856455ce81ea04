//! Connections of clients and to storage nodes, and what they are made of.
//!
//! `client::ClientConnections` and `node::NodeConnections` own the state of their side. The connections
//! themselves stand in one table, the slab of the event loop's context, which knows each by its token.

pub(crate) mod client;
pub(crate) mod descriptors;
pub mod node;
pub mod slab;
pub(crate) mod socket;
