//! Test harness: runs a gateway process, and provides test clients, fake storage nodes and a fake
//! discovery service.
//!
//! Clients and fakes send only what the test tells them to send. A test can pause the gateway
//! process ([`Gateway::pause`]): all input that arrives before it is resumed is ready in the same
//! turn of its event loop, so a test decides which events coincide. The harness sleeps only in
//! [`wait_until`], for events at a stated time; its only other timer is [`TEST_TIMEOUT`].

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

use std::time::{Duration, Instant};

/// A test fails if an expected event does not happen within this time.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(12);

/// Waits until a time of an external event, such as the kill after a shutdown.
pub fn wait_until(time: Instant) {
    std::thread::sleep(time.saturating_duration_since(Instant::now()));
}
