//! The end of a watch, against the events that it carries.

use crate::harness::cluster::TestCluster;
use crate::harness::config::with_pushed_lists;
use crate::harness::discovery::{encode_chunk, watch_event, UpdateKind, CHUNKED_RESPONSE_HEAD};
use crate::harness::gateway::READ_SIZE;
use crate::harness::log_lines;

/// The drain and the watch's reset are ready in one iteration of the event loop; the drain came
/// first.
#[test]
fn drain_received_before_a_reset_of_the_watch_is_applied() {
    let mut cluster = TestCluster::start();
    let read = cluster.start_read("a1");
    // The event takes exactly one read: after it only the reset is left.
    let mut event = watch_event(3, UpdateKind::Delta, &[cluster.node_b.terminating()]);
    let padded_length = READ_SIZE - "3ff6\r\n\r\n".len();
    event += &" ".repeat(padded_length - event.len());
    assert_eq!(encode_chunk(&event).len(), READ_SIZE);

    cluster.gateway.pause();
    cluster.watch.send(encode_chunk(&event));
    cluster.watch.reset();
    cluster.gateway.resume();

    cluster.watch = cluster.discovery.accept_watch_from(3);
    cluster.expect_new_object_avoids_node_b(read);
}

/// The next watch asks for what follows the last complete event, and starts with none of the
/// incomplete one.
#[test]
fn incomplete_event_is_dropped_when_the_watch_ends() {
    let mut cluster = TestCluster::start();
    let event = watch_event(3, UpdateKind::Delta, &[cluster.node_b.terminating()]);
    let incomplete = &event[..event.len() / 2];
    cluster
        .watch
        .send(format!("{:x}\r\n{incomplete}", event.len()));
    cluster.gateway.wait_until_input_is_processed();

    cluster.watch.close();
    cluster.watch = cluster.discovery.accept_watch_from(2);
    cluster
        .watch
        .send(CHUNKED_RESPONSE_HEAD.to_owned() + &encode_chunk(&event));
    cluster
        .gateway
        .wait_for_log(log_lines::RECEIVED_ONE_ENDPOINT);

    cluster.expect_node_b_drains();
}

#[test]
fn list_is_received_in_pieces_and_without_a_length() {
    let mut cluster = TestCluster::start();
    cluster.watch.reset();
    cluster.watch = cluster.discovery.accept_watch().connection;
    let list = watch_event(3, UpdateKind::Snapshot, &cluster.node_b_draining());
    let response = format!("HTTP/1.1 200 OK\r\n\r\n{}", list.replace(',', ",\n  "));

    for piece in response.as_bytes().chunks(50) {
        cluster.watch.send(piece);
        cluster.gateway.wait_until_input_is_processed();
    }
    cluster.wait_for_list_of_both_nodes();

    cluster.expect_node_b_drains();
}

/// Where lists are pushed, their agent is still polled, from the start on and when a connection to
/// it ends.
#[test]
fn agent_that_pushes_lists_is_polled_again() {
    let mut cluster = TestCluster::start_with(with_pushed_lists);
    let entries = cluster.node_b_draining();
    cluster.watch.reset();
    cluster.watch = cluster.discovery.accept_watch_and_send(3, &entries);
    cluster.wait_for_list_of_both_nodes();
    cluster.expect_node_b_drains();
}
