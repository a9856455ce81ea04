//! Race conditions: each test makes two events coincide, or occur in a given order, and checks the
//! result. `docs/races.md` lists all pairs of events with their tests.

mod bad_clients;
mod cached_list;
mod client_close;
mod discovery_watch;
mod idle_close;
mod local_shortage;
mod memory_limit;
mod node_connections;
mod pipelining;
mod reload;
mod shutdown;
