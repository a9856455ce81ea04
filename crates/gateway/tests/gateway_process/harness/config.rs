//! Configuration files for gateways under test.

use super::discovery::{encode_update, UpdateKind};
use std::net::SocketAddr;

/// The deployment settings of all tests; a test replaces single values.
pub const SETTINGS: &str = include_str!("../../settings.json");

/// The file that `ROUTER_CONFIG` names (platform configuration). It contains the cached endpoint
/// list, which the gateway uses until discovery has sent one.
pub fn platform_config(discovery: SocketAddr, cached_entries: &[String]) -> String {
    let cached_list = encode_update(1, UpdateKind::Snapshot, cached_entries);
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

/// Replaces text in a configuration; panics if `from` does not occur in it.
#[track_caller]
pub fn replace_setting(config: &str, from: &str, to: &str) -> String {
    assert!(
        config.contains(from),
        "the configuration does not contain {from}"
    );
    config.replace(from, to)
}

/// Disables the cancellation of attempts that a node has received.
pub fn without_cancellation(config: &str) -> String {
    replace_setting(config, "\"may_cancel\": true", "\"may_cancel\": false")
}

/// Raises the connect timeout for node connections from 1 s to 8 s.
pub fn with_long_connect_timeout(config: &str) -> String {
    replace_setting(
        config,
        "\"connect_timeout_ms\": 1000",
        "\"connect_timeout_ms\": 8000",
    )
}

/// Limits the gateway to 64 file descriptors, of which client connections may use 24.
pub fn with_64_descriptors(config: &str) -> String {
    replace_setting(config, "\"sockets\":256", "\"sockets\":64")
}

/// Limits the gateway to 1024 file descriptors, of which client connections may use 600.
pub fn with_1024_descriptors(config: &str) -> String {
    replace_setting(config, "\"sockets\":256", "\"sockets\":1024")
}

/// Limits the gateway to 32 MiB of memory.
pub fn with_32_mib_of_memory(config: &str) -> String {
    replace_setting(
        config,
        "\"sockets\":256",
        "\"sockets\":256,\"memory_mb\":32",
    )
}

/// Limits the gateway to 32 MiB of memory and 1024 file descriptors, of which client connections
/// may use 600.
pub fn with_32_mib_of_memory_and_1024_descriptors(config: &str) -> String {
    replace_setting(
        &with_32_mib_of_memory(config),
        "\"sockets\":256",
        "\"sockets\":1024",
    )
}

/// Sets the log level to `debug`.
pub fn with_debug_log(config: &str) -> String {
    replace_setting(config, "\"seed\"", "\"log\":\"debug\",\"seed\"")
}

/// Shortens the drain grace period, in which the gateway may still send to a draining node, from
/// 500 ms to 100 ms.
pub fn with_short_drain_grace(config: &str) -> String {
    replace_setting(
        config,
        "\"stop_sending_within_ms\": 500",
        "\"stop_sending_within_ms\": 100",
    )
}

/// Shortens the drain grace period from 500 ms to 250 ms.
pub fn with_drain_grace_of_250_ms(config: &str) -> String {
    replace_setting(
        config,
        "\"stop_sending_within_ms\": 500",
        "\"stop_sending_within_ms\": 250",
    )
}

/// Gives writes an idempotency key, which all nodes remember for 1 s.
pub fn with_idempotency_keys_for_1_s(config: &str) -> String {
    replace_setting(
        config,
        "\"effect\": \"side_effect\"",
        "\"effect\": \"token\", \"key_ttl_ms\": 1000",
    )
}

/// Raises the number of gateways that poll the same discovery service from 1 to 100.
pub fn with_100_gateways(config: &str) -> String {
    replace_setting(config, "\"group_size\": 1", "\"group_size\": 100")
}

/// Makes the gateway poll a discovery agent instead of the discovery service. `FakeDiscovery` then
/// acts as the agent.
pub fn with_discovery_agent(config: &str) -> String {
    replace_setting(config, "subscribe", "automatic")
}
