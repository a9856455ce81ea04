//! What the socket tests share: a gateway process, and stand-ins for clients, storage nodes and
//! discovery.
//!
//! A stand-in sends nothing until the test makes it do so, and a paused gateway
//! ([`Gateway::pause`]) does nothing until it is resumed: whatever happened meanwhile is ready in
//! one iteration of its event loop. Nothing sleeps; the only time measured is the one after which
//! a test gives up.

pub mod cluster;
pub mod config;
pub mod connection;
pub mod discovery;
pub mod gateway;
pub mod gateway_process;
pub mod log_lines;
pub mod node;
pub mod requests;
pub mod resp;
pub mod test_directory;

use std::time::Duration;

/// How long a test waits for something that must happen before it fails.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(12);
