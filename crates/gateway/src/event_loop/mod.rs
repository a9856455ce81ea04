//! The event loop: one thread that never blocks.
//!
//! Each turn handles the connections that are ready, then the timers that have expired. Then it
//! calls the scheduler once with all events that these have caused, carries out the commands that
//! follow from the scheduler's actions, and closes excess client connections.
//!
//! [`Gateway`] joins the owners of the state: client connections, node connections, listeners, the
//! endpoint table and the discovery watch. The state that they share is in
//! [`Context`](crate::context), which is passed to each of them. Nothing below imports this
//! module.

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

pub use error::GatewayError;
pub use gateway::Gateway;
