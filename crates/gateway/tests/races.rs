//! Pairs of events that race, on real sockets; `docs/races.md` lists all of them with their tests.

mod harness;

#[path = "races/client_close.rs"]
mod client_close;
#[path = "races/discovery_watch.rs"]
mod discovery_watch;
#[path = "races/idle_close.rs"]
mod idle_close;
#[path = "races/node_connections.rs"]
mod node_connections;
#[path = "races/reload.rs"]
mod reload;
#[path = "races/shutdown.rs"]
mod shutdown;
