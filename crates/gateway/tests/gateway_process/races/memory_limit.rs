//! Input of many clients at once, against the memory limit of the gateway.

use crate::harness::cluster::TestCluster;
use crate::harness::config::with_32_mib_of_memory_and_1024_descriptors;
use crate::harness::connection::Connection;
use crate::harness::requests::{
    encode_read_request, encode_read_request_with_long_list, encode_write_request_with_body,
};
use rustix::process::{getrlimit, setrlimit, Resource, Rlimit};

/// The memory limit of the gateway in bytes.
const MEMORY_LIMIT: u64 = 32 << 20;
/// Number of clients; they may hold 600 connections.
const CLIENTS: usize = 560;

/// Lets this process open as many descriptors as the system allows it.
fn raise_descriptor_limit() {
    let limits = getrlimit(Resource::Nofile);
    let raised = Rlimit {
        current: limits.maximum,
        ..limits
    };
    setrlimit(Resource::Nofile, raised).expect("raising the limit to its maximum should succeed");
}

/// Connects [`CLIENTS`] clients that each send the input which `encode_input` returns for a number,
/// and checks that the gateway stays within its memory limit and serves another client. Node A does
/// not respond to the input.
#[track_caller]
fn expect_memory_limit_to_hold(encode_input: impl Fn(usize) -> String) {
    raise_descriptor_limit();
    let cluster = TestCluster::start_with(with_32_mib_of_memory_and_1024_descriptors);
    cluster.node_b.respond_in_background("served");
    let clients: Vec<Connection> = (0..CLIENTS)
        .map(|number| cluster.gateway.connect_and_send(encode_input(number)))
        .collect();
    cluster.gateway.wait_until_input_is_processed();

    let peak = cluster.gateway.peak_memory_bytes();
    assert!(peak < MEMORY_LIMIT, "{peak} bytes of memory were used");
    let read = encode_read_request("r1").replace("shard=0", "shard=1");
    let mut other_client = cluster.gateway.connect_and_send(read);
    other_client.expect_value("served");
    drop(clients);
}

/// Each client waits for the response to a read and has sent most of a large write. Guards against
/// incomplete commands that no budget bounds, because a reply is pending on their connection.
#[test]
fn incomplete_commands_behind_a_pending_reply_stay_within_the_memory_limit() {
    expect_memory_limit_to_hold(|number| {
        let read = encode_read_request(&format!("a{number}"));
        let write = encode_write_request_with_body(&format!("w{number}"), 64 << 10);
        read + &write[..60_000]
    });
}

/// Each client sends several reads whose parameter lists have 60,000 bytes. Guards against requests
/// of which only the body is counted.
#[test]
fn requests_with_long_parameter_lists_stay_within_the_memory_limit() {
    expect_memory_limit_to_hold(|number| {
        (0..3)
            .map(|index| encode_read_request_with_long_list(&format!("r{number}-{index}"), 60_000))
            .collect()
    });
}
