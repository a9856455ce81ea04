//! Races between the close of a client connection and the reading, queueing and dispatching of its
//! requests.

use crate::harness::cluster::{serve_request, TestCluster};
use crate::harness::config::{
    with_1024_descriptors, with_debug_log, with_idempotency_keys_for_1_s,
    with_long_connect_timeout, without_cancellation,
};
use crate::harness::connection::Connection;
use crate::harness::log_lines;
use crate::harness::node::FakeStorageNode;
use crate::harness::requests::{encode_read_request, encode_write_request_with_body};

/// The connection, a complete or partial request and the close of the connection are all ready in
/// the same turn of the event loop. Forwarding the request would make the node work on a response
/// that nobody receives.
#[test]
fn request_received_together_with_the_client_close_is_not_forwarded() {
    let cluster = TestCluster::start();
    let mut read = cluster.start_read("a1");

    cluster.gateway.pause();
    let complete_request = encode_read_request("a2");
    let partial_request = &encode_read_request("a3")[..40];
    for request in [complete_request.as_str(), partial_request] {
        cluster.gateway.connect_and_send(request).close();
    }
    let mut next_client = cluster.gateway.connect_and_send(encode_read_request("a4"));
    cluster.gateway.resume();
    cluster.gateway.wait_until_input_is_processed();

    read.complete("one");
    serve_request(&mut read.node, &mut next_client, "a4", "four");
}

/// While a request is in flight, the gateway reads only part of the bytes that the client has sent.
/// When the client closes its connection, the gateway must detect the close behind the unread bytes
/// and forward none of the requests.
#[test]
fn close_after_unread_requests_is_detected() {
    let cluster = TestCluster::start();
    let mut read = cluster.start_read("a1");
    let requests: String = (0..700)
        .map(|number| encode_read_request(&format!("g{number}")))
        .collect();
    let closing_client = cluster.gateway.connect_and_send(requests);
    cluster.gateway.wait_until_input_is_processed();

    closing_client.close();
    cluster.gateway.wait_until_input_is_processed();

    let mut next_client = cluster.gateway.connect_and_send(encode_read_request("a2"));
    cluster.gateway.wait_until_input_is_processed();
    read.complete("one");
    serve_request(&mut read.node, &mut next_client, "a2", "two");
}

/// A client sends input while node A is busy, then ends the connection. Checks that the gateway
/// detects the end before the node responds, and forwards nothing of the input after it.
#[track_caller]
fn expect_end_to_be_detected_behind(input: &str, end: impl FnOnce(Connection)) {
    let mut cluster = TestCluster::start_with(with_debug_log);
    let mut read = cluster.start_read("a1");
    let leaving_client = cluster.gateway.connect_and_send(input);

    end(leaving_client);
    cluster
        .gateway
        .wait_for_log(log_lines::CLIENT_CONNECTION_CLOSED);

    let mut next_client = cluster.gateway.connect_and_send(encode_read_request("a2"));
    cluster.gateway.wait_until_input_is_processed();
    read.complete("one");
    serve_request(&mut read.node, &mut next_client, "a2", "two");
}

/// As [`expect_end_to_be_detected_behind`], for a close, a half close and a reset.
#[track_caller]
fn expect_each_end_to_be_detected_behind(input: &str) {
    expect_end_to_be_detected_behind(input, Connection::close);
    expect_end_to_be_detected_behind(input, Connection::reset);
    let mut half_closed = None;
    expect_end_to_be_detected_behind(input, |client| {
        client.close_sending_side();
        half_closed = Some(client);
    });
}

/// Returns writes with bodies of this size, 1.2 MB in all.
fn encode_large_writes(body_bytes: usize) -> String {
    (0..1_200_000 / body_bytes)
        .map(|number| encode_write_request_with_body(&format!("w{number}"), body_bytes))
        .collect()
}

/// More writes than may wait for a reply, and more bytes than the system buffers unless they are
/// read. Guards against pausing the reading while commands wait, which hides the close of the
/// client.
#[test]
fn end_of_a_connection_is_detected_behind_hundreds_of_writes() {
    expect_each_end_to_be_detected_behind(&encode_large_writes(4_096));
}

/// Fewer writes than may wait for a reply.
#[test]
fn end_of_a_connection_is_detected_behind_a_few_large_writes() {
    expect_each_end_to_be_detected_behind(&encode_large_writes(60_000));
}

/// More reads than the gateway rejects before it closes the connection.
#[test]
fn end_of_a_connection_is_detected_behind_thousands_of_reads() {
    let reads: String = (0..8_000)
        .map(|number| encode_read_request(&format!("r{number}")))
        .collect();
    expect_each_end_to_be_detected_behind(&reads);
}

/// The connection is due to be closed after its replies, because of the invalid command. Guards
/// against no longer reading it until then.
#[test]
fn end_of_a_connection_is_detected_behind_an_invalid_command() {
    let input = encode_read_request("r1") + "invalid\r\n" + &"x".repeat(1_200_000);
    expect_each_end_to_be_detected_behind(&input);
}

/// Cancellation is disabled, so the attempt stays at the node after the client has closed.
#[test]
fn attempt_of_a_closed_client_is_not_retried_after_a_node_reset() {
    let cluster = TestCluster::start_with(without_cancellation);
    let read = cluster.start_read("a1");

    read.client.close();
    cluster.gateway.wait_until_input_is_processed();
    read.node.reset();

    let mut next_client = cluster.gateway.connect_and_send(encode_read_request("a2"));
    let mut node = cluster.node_a.accept();
    serve_request(&mut node, &mut next_client, "a2", "two");
    cluster.node_a.expect_no_further_connection();
}

/// Cancellation is disabled, so the node still responds to the request of the closed client. The
/// next request uses the same node connection and must not receive that response.
#[test]
fn response_for_a_closed_client_is_not_sent_to_the_next_client() {
    let cluster = TestCluster::start_with(without_cancellation);
    let mut read = cluster.start_read("a1");

    read.client.close();
    let mut next_client = cluster.gateway.connect_and_send(encode_read_request("a2"));
    cluster.gateway.wait_until_input_is_processed();
    read.node.respond("one");

    serve_request(&mut read.node, &mut next_client, "a2", "two");
}

/// The client closes while its attempt waits for a node connection to be established. Checks that
/// only the request of the next client is sent on the connection once it is established.
fn expect_only_the_next_request_on_the_established_connection(
    edit_config: impl Fn(&str) -> String,
) {
    let cluster = TestCluster::start_with(edit_config);
    let queue = cluster.node_a.fill_accept_queue();
    let closing_client = cluster.gateway.connect_and_send(encode_read_request("a1"));
    cluster.gateway.wait_until_input_is_processed();

    closing_client.close();
    cluster.gateway.wait_until_input_is_processed();
    let mut next_client = cluster.gateway.connect_and_send(encode_read_request("a2"));
    cluster.gateway.wait_until_input_is_processed();
    cluster.node_a.empty_accept_queue(&queue);

    let mut node = cluster.node_a.accept();
    serve_request(&mut node, &mut next_client, "a2", "two");
}

#[test]
fn attempt_waiting_for_a_node_connection_is_cancelled_on_client_close() {
    expect_only_the_next_request_on_the_established_connection(with_long_connect_timeout);
}

#[test]
fn attempt_waiting_for_a_node_connection_is_dropped_if_cancellation_is_disabled() {
    expect_only_the_next_request_on_the_established_connection(|config| {
        with_long_connect_timeout(&without_cancellation(config))
    });
}

/// A client closes while node A is executing its write, and the same id comes again on a new
/// connection. Guards against a second execution: the write fails, and only a write with a new id
/// is forwarded.
fn expect_write_not_to_be_executed_again(edit_config: impl Fn(&str) -> String) {
    const BODY_BYTES: usize = 10;
    let cluster = TestCluster::start_with(edit_config);
    let write = encode_write_request_with_body("w1", BODY_BYTES);
    let closing_client = cluster.gateway.connect_and_send(&write);
    let mut first_node_connection = cluster.node_a.accept_request("w1");

    closing_client.close();
    cluster.gateway.wait_until_input_is_processed();
    first_node_connection.expect_closed();
    let mut next_client = cluster.gateway.connect_and_send(&write);
    next_client.expect_value("-ERR the id is that of a request that may have run");

    next_client.send(encode_write_request_with_body("w2", BODY_BYTES));
    let mut node = cluster.node_a.accept();
    serve_request(&mut node, &mut next_client, "w2", "written");
}

#[test]
fn write_of_a_closed_client_is_not_executed_again() {
    expect_write_not_to_be_executed_again(str::to_owned);
}

#[test]
fn write_with_an_idempotency_key_of_a_closed_client_is_not_executed_again() {
    expect_write_not_to_be_executed_again(with_idempotency_keys_for_1_s);
}

/// The request waits for the successor of a draining node. The successor must not receive it after
/// the client has closed.
#[test]
fn request_waiting_for_a_successor_is_dropped_on_client_close() {
    let mut cluster = TestCluster::start();
    let mut read = cluster.start_read("a1");
    let waiting_client = cluster
        .gateway
        .connect_and_send_while_paused(encode_read_request("a2"));
    cluster.gateway.wait_until_input_is_processed();
    cluster.send_delta(3, &[cluster.node_a.draining_entry()]);

    waiting_client.close();
    cluster.gateway.wait_until_input_is_processed();
    let successor = FakeStorageNode::new("c", 0);
    cluster.send_delta(4, &[successor.in_service_entry()]);

    let mut next_client = cluster
        .gateway
        .connect_and_send_while_paused(encode_read_request("a3"));
    let mut successor_connection = successor.accept();
    serve_request(&mut successor_connection, &mut next_client, "a3", "three");
    read.complete("one");
}

/// The response to the client's first request frees the node, and the gateway dispatches the
/// client's second request in the same turn of the event loop. The client's reset becomes ready too
/// late for this turn: the gateway detects it only when it sends the response. The second request
/// must not be sent to the node.
#[test]
fn attempt_is_not_sent_if_the_client_reset_is_detected_in_the_same_turn() {
    let cluster = TestCluster::start_with(with_1024_descriptors);
    let closing_client = cluster
        .gateway
        .connect_and_send(encode_read_request("a1") + &encode_read_request("a2"));
    let mut node = cluster.node_a.accept_request("a1");
    let mut other_clients = cluster
        .gateway
        .connect_more_idle_clients_than_one_turn_handles();

    cluster.gateway.pause();
    node.respond("one");
    for client in &mut other_clients {
        client.send_ping();
    }
    closing_client.reset();
    cluster.gateway.resume();
    cluster.gateway.wait_until_input_is_processed();

    let mut next_client = cluster.gateway.connect_and_send(encode_read_request("a3"));
    serve_request(&mut node, &mut next_client, "a3", "three");
}
