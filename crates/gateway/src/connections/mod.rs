//! Network connections: those of clients, those to storage nodes, the one to the discovery service,
//! and the listeners.
//!
//! Each kind of connection has an owner, such as `ClientConnections`. The owner stores its
//! connections by [`ConnectionToken`](crate::connection_token::ConnectionToken), together with the
//! state that they share. Owners depend on neither each other nor the event loop: they receive the
//! [`Context`](crate::context) as an argument, and return a value where the event loop has to act.

pub(crate) mod client;
mod connection_timer;
mod counted_bytes;
pub(crate) mod descriptors;
pub(crate) mod discovery_watch;
pub(crate) mod listener;
pub mod node;
pub(crate) mod nonblocking;
mod socket;
