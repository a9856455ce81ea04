//! Connections and their owners: of clients, to storage nodes, to discovery, and the listeners.
//!
//! Each owner keeps its connections by
//! [`ConnectionToken`](crate::connection_token::ConnectionToken) and the state of all of them
//! together. Owners don't know each other or the event loop: they get the
//! [`Context`](crate::context), and return what concerns others as a value.

pub(crate) mod client;
mod connection_timer;
mod counted_bytes;
pub(crate) mod descriptors;
pub(crate) mod discovery_watch;
pub(crate) mod listener;
pub mod node;
pub(crate) mod nonblocking;
mod socket;
