//! Races between the end of a discovery watch and the updates on it, and the encodings of these
//! updates.

use crate::harness::cluster::TestCluster;
use crate::harness::config::with_discovery_agent;
use crate::harness::discovery::{
    encode_chunk, encode_update_line, UpdateKind, CHUNKED_RESPONSE_HEAD,
};
use crate::harness::gateway::MAX_READ_BYTES;
use crate::harness::log_lines;

/// The update that reports a drain and the reset of the watch are ready in the same turn of the
/// event loop, the update first. The gateway must not drop it because of the reset.
#[test]
fn drain_received_before_a_reset_of_the_watch_is_applied() {
    let mut cluster = TestCluster::start();
    let read = cluster.start_read("a1");
    // The update fills exactly one read of the gateway, so that its next read returns the reset.
    let mut update = encode_update_line(3, UpdateKind::Delta, &[cluster.node_b.draining_entry()]);
    let padded_length = MAX_READ_BYTES - "3ff6\r\n\r\n".len();
    update += &" ".repeat(padded_length - update.len());
    assert_eq!(encode_chunk(&update).len(), MAX_READ_BYTES);

    cluster.gateway.pause();
    cluster.watch.send(encode_chunk(&update));
    cluster.watch.reset();
    cluster.gateway.resume();

    cluster.watch = cluster.discovery.accept_watch_from(3);
    cluster.expect_write_goes_to_node_a(read);
}

/// The next watch must ask for the updates after the last complete one, and the bytes of the
/// incomplete update must not be prepended to its first update.
#[test]
fn incomplete_update_is_dropped_when_the_watch_ends() {
    let mut cluster = TestCluster::start();
    let update = encode_update_line(3, UpdateKind::Delta, &[cluster.node_b.draining_entry()]);
    let incomplete = &update[..update.len() / 2];
    cluster
        .watch
        .send(format!("{:x}\r\n{incomplete}", update.len()));
    cluster.gateway.wait_until_input_is_processed();

    cluster.watch.close();
    cluster.watch = cluster.discovery.accept_watch_from(2);
    cluster
        .watch
        .send(CHUNKED_RESPONSE_HEAD.to_owned() + &encode_chunk(&update));
    cluster
        .gateway
        .wait_for_log(log_lines::RECEIVED_ONE_ENDPOINT);

    cluster.expect_new_read_and_write_go_to_node_a();
}

/// The response has neither chunked encoding nor a content length, the list contains line breaks,
/// and the gateway receives 50 bytes at a time.
#[test]
fn endpoint_list_without_a_content_length_is_accepted_in_pieces() {
    let mut cluster = TestCluster::start();
    cluster.watch.reset();
    cluster.watch = cluster.discovery.accept_watch().connection;
    let list = encode_update_line(
        3,
        UpdateKind::Snapshot,
        &cluster.entries_with_node_b_draining(),
    );
    let response = format!("HTTP/1.1 200 OK\r\n\r\n{}", list.replace(',', ",\n  "));

    for piece in response.as_bytes().chunks(50) {
        cluster.watch.send(piece);
        cluster.gateway.wait_until_input_is_processed();
    }
    cluster.wait_for_update_of_two_endpoints();

    cluster.expect_new_read_and_write_go_to_node_a();
}

/// If the discovery service sends endpoint lists to a discovery agent, the gateway polls the agent:
/// at its start, and again after the connection to the agent has ended.
#[test]
fn broken_watch_of_a_discovery_agent_is_reopened() {
    let mut cluster = TestCluster::start_with(with_discovery_agent);
    let entries = cluster.entries_with_node_b_draining();
    cluster.watch.reset();
    cluster.watch = cluster.discovery.accept_watch_and_send(3, &entries);
    cluster.wait_for_update_of_two_endpoints();
    cluster.expect_new_read_and_write_go_to_node_a();
}
