//! Pairs of events that race; `docs/races.md` lists all of them with their tests.

mod client_close;
mod discovery_watch;
mod idle_close;
mod node_connections;
mod reload;
mod shutdown;
