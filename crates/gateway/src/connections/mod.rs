//! Connections of clients and to storage nodes, and what they are built from.
//!
//! `client::ClientConnections` and `node::NodeConnections` own the state of all connections of their kind
//! together. The connections themselves are in one table, the slab of the event loop's context, which finds
//! each by its [`ConnectionToken`](crate::connection_token::ConnectionToken).

pub(crate) mod client;
mod counted_bytes;
pub(crate) mod descriptors;
pub mod node;
pub mod slab;
pub(crate) mod socket;

use counted_bytes::CountedBytes;
