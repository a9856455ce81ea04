//! The event loop: one thread that never blocks.
//!
//! Each turn handles the connections that are ready, then the timers that have expired. Then it calls the
//! scheduler once with all events that these have caused, carries out the commands that follow from the
//! scheduler's actions, and closes excess client connections.
//!
//! [`Gateway`] joins the owners of the state: client connections, node connections, the endpoint table and
//! the discovery watch. The state that they share is in `Context`, which is passed to each of them.

mod clock;
mod console;
mod context;
mod discovery_watch;
mod endpoint_table;
mod endpoint_updates;
mod error;
mod gateway;
pub(crate) mod listener;
mod poller;
mod reload;
mod shutdown;
mod signals;

pub(crate) use context::{Connection, Context};
pub use error::GatewayError;
pub use gateway::Gateway;
pub(crate) use poller::Poller;
