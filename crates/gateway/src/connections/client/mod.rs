//! Client connections: accepting, commands and replies, limits, eviction and closing.
//!
//! [`ClientConnections`] owns them. A method that takes a connection by value expects that the
//! caller has taken it out by [`ClientConnections::take`]; it stores the connection again or drops
//! it before it returns.

mod accept;
mod client_connections;
mod closing;
mod commands;
mod connection;
mod events;
mod eviction;
mod eviction_queue;
mod reply_queue;

pub(crate) use accept::AcceptOutcome;
pub(crate) use client_connections::ClientConnections;
