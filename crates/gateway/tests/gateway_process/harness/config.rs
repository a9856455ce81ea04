//! Configuration files for gateways under test.

use super::discovery::{endpoint_list, UpdateKind};
use std::net::SocketAddr;

/// The deployment settings that all tests start from.
pub const SETTINGS: &str = include_str!("../../settings.json");

/// The configuration of a gateway on the platform, with the endpoint list that it has cached.
pub fn platform_config(discovery: SocketAddr, cached_entries: &[String]) -> String {
    let cached_list = endpoint_list(1, UpdateKind::Snapshot, cached_entries);
    format!(
        r#"{{
            "name":"n0",
            "listen":"127.0.0.1:0",
            "discovery":"{discovery}",
            "seed":"1",
            "limits":{{"sockets":256}},
            "known":{cached_list},
            "settings":{SETTINGS}
        }}"#
    )
}

/// Replaces a part of a configuration, which must be there.
#[track_caller]
pub fn replace_setting(config: &str, from: &str, to: &str) -> String {
    assert!(config.contains(from), "the configuration has no {from}");
    config.replace(from, to)
}

/// Attempts can't be cancelled once they are at a node.
pub fn without_cancellation(config: &str) -> String {
    replace_setting(config, "\"may_cancel\": true", "\"may_cancel\": false")
}

/// Connections to nodes may take long to be established.
pub fn with_long_connect_timeout(config: &str) -> String {
    replace_setting(
        config,
        "\"connect_timeout_ms\": 1000",
        "\"connect_timeout_ms\": 8000",
    )
}

/// Of the file descriptors, clients may hold 24.
pub fn with_few_sockets(config: &str) -> String {
    replace_setting(config, "\"sockets\":256", "\"sockets\":64")
}

/// Of the file descriptors, clients may hold 600.
pub fn with_many_sockets(config: &str) -> String {
    replace_setting(config, "\"sockets\":256", "\"sockets\":1024")
}

/// The gateway writes its debug log.
pub fn with_debug_log(config: &str) -> String {
    replace_setting(config, "\"seed\"", "\"log\":\"debug\",\"seed\"")
}

/// A node that drains may be sent to for a shorter time.
pub fn with_short_drain_grace(config: &str) -> String {
    replace_setting(
        config,
        "\"stop_sending_within_ms\": 500",
        "\"stop_sending_within_ms\": 100",
    )
}

/// An agent pushes endpoint lists.
pub fn with_pushed_lists(config: &str) -> String {
    replace_setting(config, "subscribe", "automatic")
}
