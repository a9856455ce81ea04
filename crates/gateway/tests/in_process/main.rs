//! Tests of individual modules of the gateway. They run in the test process and open no sockets.

mod client_protocols;
mod configuration;
mod discovery;
mod dispatcher;
mod idle_timeout;
mod malformed_input;
mod node_protocols;
mod number_text;
mod slab;
mod support;
mod timer_queue;
