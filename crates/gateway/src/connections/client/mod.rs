//! Client connections: accepting, parsing commands, writing replies, evicting and closing.
//!
//! [`ClientConnections`] owns all of them. A method that takes a
//! [`ClientConnection`](connection::ClientConnection) by value expects the caller to have removed
//! it with [`ClientConnections::take`]. Before it returns, the method either stores the connection
//! again or drops it.

mod accept;
mod client_connections;
mod closing;
mod commands;
mod connection;
mod events;
mod eviction;
mod eviction_queue;
mod reply_queue;
mod waiting_commands;

pub(crate) use accept::AcceptOutcome;
pub(crate) use client_connections::ClientConnections;
