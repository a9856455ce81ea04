//! Tests of single parts of the gateway, without sockets and processes.

mod client_protocols;
mod configuration;
mod discovery;
mod dispatcher;
mod idle_timeout;
mod malformed_input;
mod node_protocols;
mod slab;
mod support;
mod timer_queue;
