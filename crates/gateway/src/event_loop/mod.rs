//! The event loop: a single thread that performs no blocking network I/O.
//!
//! A turn is one pass of the loop. It handles the connections that are ready, then the timers that
//! have expired. It then calls the scheduler once with all events that resulted, runs the commands
//! that follow from the scheduler's actions, and closes excess client connections.
//!
//! [`Gateway`] owns the client connections, the node connections, the listeners, the endpoint table
//! and the discovery watch. They share the state in [`Context`](crate::context), which is passed to
//! each of them. No other module of the library imports this one.

mod console;
mod console_input;
mod endpoint_table;
mod endpoint_updates;
mod error;
mod events;
mod gateway;
mod reload;
mod shutdown;
mod signals;
mod turn;
mod turn_statistics;

pub use error::GatewayError;
pub use gateway::Gateway;
