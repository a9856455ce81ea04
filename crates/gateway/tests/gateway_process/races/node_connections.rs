//! Races between a response, a reset or the establishment of a node connection, and a drain, a
//! deadline or another request.

use crate::harness::cluster::{serve_request, TestCluster};
use crate::harness::config::{
    with_1024_descriptors, with_drain_grace_of_250_ms, with_idempotency_keys_for_1_s,
    with_long_connect_timeout, with_short_drain_grace,
};
use crate::harness::discovery::encode_delta_chunk;
use crate::harness::gateway::MAX_READ_BYTES;
use crate::harness::node::FakeStorageNode;
use crate::harness::requests::{
    encode_read_request, encode_read_request_for_another_object, encode_read_request_with_deadline,
    encode_value_response, encode_write_request, encode_write_request_with_body, SplitRequest,
};
use crate::harness::wait_until;
use std::time::{Duration, Instant};

/// A complete response and a reset of the connection are ready in the same turn of the event loop,
/// the response first. The gateway must not treat the attempt as failed and retry it.
#[test]
fn response_received_before_a_node_reset_is_sent_to_the_client() {
    let cluster = TestCluster::start();
    let mut read = cluster.start_read("a1");
    // The response fills exactly two reads of the gateway, so that its next read returns the reset.
    let value = "v".repeat(2 * MAX_READ_BYTES - encode_value_response("").len() - 4);
    assert_eq!(encode_value_response(&value).len(), 2 * MAX_READ_BYTES);

    cluster.gateway.pause();
    read.node.respond(&value);
    read.node.reset();
    cluster.gateway.resume();

    read.client.expect_value(&value);
    // The gateway has not retried the read.
    cluster.node_a.expect_no_further_connection();
}

/// The node is reported as draining, and then its connection is reset. The draining node must not
/// receive the retry.
#[test]
fn retry_after_a_reset_goes_to_the_successor_of_a_draining_node() {
    let mut cluster = TestCluster::start();
    let mut read = cluster.start_read("a1");
    let successor = FakeStorageNode::new("c", 0);

    cluster.send_delta(
        3,
        &[
            cluster.node_a.draining_entry(),
            successor.in_service_entry(),
        ],
    );
    read.node.reset();

    read.node = successor.accept_request("a1");
    read.complete("one");
    cluster.node_a.expect_no_further_connection();
}

/// The gateway chooses the node of a request after the last byte of the request has arrived, so it
/// considers a drain that was reported after the first byte.
#[test]
fn request_completed_after_a_drain_is_not_sent_to_the_draining_node() {
    let mut cluster = TestCluster::start();
    let mut read = cluster.start_read("a1");
    let request = SplitRequest::new(&encode_write_request("w1"));
    let mut writer = cluster
        .gateway
        .connect_with_partial_request(&request.first_half);

    cluster.drain_node_b();
    writer.send(request.second_half);
    cluster.gateway.wait_until_input_is_processed();

    read.complete("one");
    serve_request(&mut read.node, &mut writer, "w1", "written");
    cluster.node_b.expect_no_further_connection();
}

/// The response and the update that removes the node are ready in the same turn of the event loop.
/// The client receives the response; the gateway then closes the connection without sending
/// anything more on it, because the node is removed.
#[test]
fn response_received_together_with_the_node_removal_is_sent_to_the_client() {
    let mut cluster = TestCluster::start();
    let mut read = cluster.start_read("a1");

    cluster.gateway.pause();
    cluster
        .watch
        .send(encode_delta_chunk(3, &[cluster.node_a.removed_entry()]));
    read.node.respond("one");
    cluster.gateway.resume();

    read.client.expect_value("one");
    read.node.expect_closed();
}

/// The client gets a `BUSY` error at its deadline. The late response must not reach the client as
/// the response to its next request.
#[test]
fn response_after_the_deadline_is_ignored() {
    let cluster = TestCluster::start();
    let mut client = cluster
        .gateway
        .connect_and_send(encode_read_request_with_deadline("a1", 400));
    let mut node = cluster.node_a.accept_request("a1");

    client.expect_busy();
    node.expect_closed();
    node.send_after_close(encode_value_response("one"));

    // A read of the same object would count as a client's retry of the first read and keep its
    // latency objective.
    client.send(encode_read_request_for_another_object("a2"));
    let mut node = cluster.node_a.accept();
    serve_request(&mut node, &mut client, "a2", "two");
}

/// The gateway is held up from before the deadline of the request until well after it. The client
/// may repeat the read, so it gets a rejection and not a failure.
#[test]
fn request_is_rejected_if_the_gateway_is_held_up_at_its_deadline() {
    let cluster = TestCluster::start();
    let sent_at = Instant::now();
    let mut client = cluster
        .gateway
        .connect_and_send(encode_read_request_with_deadline("a1", 400));
    let _node = cluster.node_a.accept_request("a1");

    cluster.gateway.pause();
    wait_until(sent_at + Duration::from_millis(500));
    cluster.gateway.resume();

    client.expect_busy();
}

/// The connection to a draining node is established only after the drain grace period, in which the
/// gateway may still send to the node. The request must be rejected instead of sent.
#[test]
fn no_request_is_sent_on_a_connection_established_after_the_drain_grace() {
    let mut cluster = TestCluster::start_with(|config| {
        with_long_connect_timeout(&with_short_drain_grace(config))
    });
    let queue = cluster.node_a.fill_accept_queue();
    let mut client = cluster.gateway.connect_and_send(encode_read_request("a1"));
    cluster.gateway.wait_until_input_is_processed();

    cluster.send_delta(3, &[cluster.node_a.draining_entry()]);
    cluster.node_a.empty_accept_queue(&queue);
    let mut node = cluster.node_a.accept();

    client.expect_busy();
    cluster
        .watch
        .send(encode_delta_chunk(4, &[cluster.node_a.removed_entry()]));
    // Fails if the gateway has sent anything on the connection.
    node.expect_closed();
}

/// The nodes remember the key of a write for 1 s. The connection for the retry of a write that may
/// have been executed is established after that. Guards against executing the write twice.
#[test]
fn retry_is_not_written_after_the_window_of_its_idempotency_key() {
    let mut cluster = TestCluster::start_with(|config| {
        with_long_connect_timeout(&with_idempotency_keys_for_1_s(config))
    });
    cluster.drain_node_b();
    let sent_at = Instant::now();
    let mut client = cluster.gateway.connect_and_send(encode_write_request("w1"));
    let node = cluster.node_a.accept_request("w1");
    let queue = cluster.node_a.fill_accept_queue();
    node.reset();
    cluster.gateway.wait_until_input_is_processed();

    wait_until(sent_at + IDEMPOTENCY_WINDOW);
    cluster.node_a.empty_accept_queue(&queue);
    let mut node = cluster.node_a.accept();

    client.expect_busy();
    assert!(
        !node.receives_bytes_before(Instant::now() + Duration::from_millis(200)),
        "the write was sent again after the window"
    );
}

/// A node sends a response on an idle connection. The gateway dispatches the next request in a turn
/// of the event loop before the one in which the unsolicited response is ready. It must not use
/// that response for the request: it closes the connection and sends the request on a new one.
#[test]
fn unsolicited_response_is_not_used_for_the_next_request() {
    let cluster = TestCluster::start_with(with_1024_descriptors);
    let mut read = cluster.start_read("a1");
    read.complete("one");
    let mut other_clients = cluster
        .gateway
        .connect_more_idle_clients_than_one_turn_handles();

    cluster.gateway.pause();
    read.client.send(encode_read_request("a2"));
    for client in &mut other_clients {
        client.send_ping();
    }
    read.node.respond("unsolicited");
    cluster.gateway.resume();

    read.node.expect_closed();
    let mut node = cluster.node_a.accept();
    serve_request(&mut node, &mut read.client, "a2", "two");
}

/// How long nodes remember idempotency keys; see `with_idempotency_keys_for_1_s`.
const IDEMPOTENCY_WINDOW: Duration = Duration::from_secs(1);
/// The command that the gateway sends to find out to which request a response belongs.
const BARRIER: &str = "SELECT 0";
/// A node's response to [`BARRIER`].
const BARRIER_RESPONSE: &str = "+OK\r\n";

/// A node sends a response a second time after the next request has been written on the connection.
/// Guards against serving the client of that request the value of the earlier one.
#[test]
fn late_second_response_is_not_used_for_the_next_request() {
    let cluster = TestCluster::start();
    let mut read = cluster.start_read("a1");
    read.complete("one");
    read.client.send(encode_read_request("a2"));
    read.node.expect_request("a2");

    read.node.respond("one");
    read.node.expect_value(BARRIER);
    read.node.respond("two");

    read.client.expect_value("two");
    // The response to the barrier arrives with the next one and is skipped.
    read.client.send(encode_read_request("a3"));
    read.node.expect_request("a3");
    read.node.send(BARRIER_RESPONSE);
    read.node.respond("three");
    read.client.expect_value("three");
}

/// Two responses are sent a second time, behind one another, after a third request has been
/// written. Guards against remembering only the last value: each of the two would be served to the
/// client of the third request.
#[test]
fn late_second_responses_behind_another_response_are_not_used() {
    let cluster = TestCluster::start();
    let mut read = cluster.start_read("a1");
    read.complete("one");
    read.client.send(encode_read_request("a2"));
    serve_request(&mut read.node, &mut read.client, "a2", "two");
    read.client.send(encode_read_request("a3"));
    read.node.expect_request("a3");

    read.node.respond("one");
    read.node.expect_value(BARRIER);
    read.node.respond("two");
    read.node.respond("three");

    read.client.expect_value("three");
    read.client.send(encode_read_request("a4"));
    read.node.expect_request("a4");
    read.node.send(BARRIER_RESPONSE);
    read.node.respond("four");
    read.client.expect_value("four");
}

/// A response fails between a value and its late duplicate. Guards against forgetting the value.
#[test]
fn late_second_response_behind_a_failed_one_is_not_used() {
    let cluster = TestCluster::start();
    let mut read = cluster.start_read("a1");
    read.complete("one");
    read.client.send(encode_write_request_with_body("w2", 10));
    read.node.expect_request("w2");
    read.node.send("-ERR failed\r\n");
    read.client.expect_value("-ERR failed");
    read.client.send(encode_read_request("a3"));
    read.node.expect_request("a3");

    read.node.respond("one");
    read.node.expect_value(BARRIER);
    read.node.respond("three");

    read.client.expect_value("three");
}

/// As before, with both responses ready in the same turn of the event loop.
#[test]
fn late_second_response_is_not_used_if_it_is_read_together_with_the_right_one() {
    let cluster = TestCluster::start();
    let mut read = cluster.start_read("a1");
    read.complete("one");
    read.client.send(encode_read_request("a2"));
    read.node.expect_request("a2");

    cluster.gateway.pause();
    read.node.respond("one");
    read.node.respond("two");
    cluster.gateway.resume();

    read.client.expect_value("two");
    read.node.expect_value(BARRIER);
    // The response to the barrier arrives while the connection is idle, and is skipped.
    read.node.send(BARRIER_RESPONSE);
    cluster.gateway.wait_until_input_is_processed();
    read.client.send(encode_read_request("a3"));
    serve_request(&mut read.node, &mut read.client, "a3", "three");
}

/// A node makes the same value for two requests. Guards against taking the second response for a
/// late copy of the first.
#[test]
fn equal_responses_to_two_requests_are_both_served() {
    let cluster = TestCluster::start();
    let mut read = cluster.start_read("a1");
    read.complete("one");
    read.client.send(encode_read_request("a2"));
    read.node.expect_request("a2");

    read.node.respond("one");
    read.node.expect_value(BARRIER);
    read.node.send(BARRIER_RESPONSE);

    read.client.expect_value("one");
    read.client.send(encode_read_request("a3"));
    serve_request(&mut read.node, &mut read.client, "a3", "three");
}

/// How long after an unanswered connection request the system repeats it.
const CONNECT_RETRANSMISSION: Duration = Duration::from_millis(1_000);
/// The drain grace of 250 ms and the 50 ms by which the protocol extends every time limit.
const DRAIN_LIMIT: Duration = Duration::from_millis(300);

/// The gateway is held up for 140 ms when the notification arrives, and the connection is
/// established 330 ms after the notification.
#[test]
fn request_is_not_written_after_the_drain_grace_if_the_notification_is_handled_late() {
    let mut cluster = TestCluster::start_with(|config| {
        with_long_connect_timeout(&with_drain_grace_of_250_ms(config))
    });
    let queue = cluster.node_a.fill_accept_queue();
    let connecting_since = Instant::now();
    let _client = cluster.gateway.connect_and_send(encode_read_request("a1"));

    wait_until(connecting_since + CONNECT_RETRANSMISSION - Duration::from_millis(330));
    cluster.gateway.pause();
    let notified_at = Instant::now();
    cluster
        .watch
        .send(encode_delta_chunk(3, &[cluster.node_a.draining_entry()]));
    wait_until(notified_at + Duration::from_millis(140));
    cluster.gateway.resume();
    cluster.node_a.empty_accept_queue(&queue);

    let mut node = cluster.node_a.accept();
    let is_written = node.receives_bytes_before(notified_at + Duration::from_secs(1));
    let delay = notified_at.elapsed();
    assert!(
        !is_written || delay <= DRAIN_LIMIT,
        "the request was written {delay:?} after the notification"
    );
}

/// The connection to the node is established and the node starts to drain before a turn of the
/// event loop. The turn must not write the request before it has applied the notification.
#[test]
fn drain_is_applied_before_a_connection_that_becomes_ready_in_the_same_turn() {
    let mut cluster = TestCluster::start_with(|config| {
        with_long_connect_timeout(&with_drain_grace_of_250_ms(config))
    });
    let queue = cluster.node_a.fill_accept_queue();
    let _client = cluster.gateway.connect_and_send(encode_read_request("a1"));
    // The first wait may end in the turn that starts to connect.
    cluster.gateway.wait_until_input_is_processed();
    cluster.gateway.wait_until_input_is_processed();

    cluster.gateway.pause();
    cluster.node_a.empty_accept_queue(&queue);
    let mut node = cluster.node_a.accept();
    cluster
        .watch
        .send(encode_delta_chunk(3, &[cluster.node_a.draining_entry()]));
    cluster.gateway.resume();

    let observed_until = Instant::now() + Duration::from_secs(1);
    assert!(
        !node.receives_bytes_before(observed_until),
        "the request was written after the node had started to drain"
    );
}
