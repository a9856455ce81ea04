//! Races between a graceful shutdown (SIGTERM) and events of clients, nodes and discovery.

use crate::harness::cluster::{serve_request, TestCluster};
use crate::harness::config::with_1024_descriptors;
use crate::harness::connection::Connection;
use crate::harness::discovery::FakeDiscovery;
use crate::harness::requests::{
    encode_read_request, encode_read_request_with_deadline, forwarded_deadline_ms, SplitRequest,
};
use crate::harness::wait_until;
use std::time::{Duration, Instant};

/// As [`serve_request`], and checks that the gateway then closes the client's connection.
#[track_caller]
fn serve_last_request(node: &mut Connection, client: &mut Connection, id: &str, value: &str) {
    serve_request(node, client, id, value);
    client.expect_closed();
}

/// A gateway that is shutting down still accepts clients while requests are in flight.
#[test]
fn client_accepted_after_sigterm_is_served() {
    let mut cluster = TestCluster::start();
    let mut read = cluster.start_read("a1");

    cluster.gateway.request_shutdown_and_wait_for_idle_close();
    let mut second_client = cluster
        .gateway
        .connect_and_send_while_paused(encode_read_request("a2"));
    cluster.gateway.wait_until_input_is_processed();

    read.complete_and_expect_client_close("one");
    serve_last_request(&mut read.node, &mut second_client, "a2", "two");
    cluster.gateway.expect_clean_exit();
}

/// The new client and the response to the last request in flight are ready in the same turn of the
/// event loop. The gateway must not exit before it has served the new client.
#[test]
fn client_accepted_together_with_the_last_response_is_served() {
    let mut cluster = TestCluster::start();
    let mut read = cluster.start_read("a1");
    cluster.gateway.request_shutdown_and_wait_for_idle_close();

    cluster.gateway.pause();
    read.node.respond("one");
    let mut second_client = cluster.gateway.connect_and_send(encode_read_request("a2"));
    cluster.gateway.resume();

    read.client.expect_value_and_close("one");
    serve_last_request(&mut read.node, &mut second_client, "a2", "two");
    cluster.gateway.expect_clean_exit();
}

/// The first half of the request arrives before SIGTERM, the second half while the gateway
/// closes idle connections.
#[test]
fn partial_request_is_completed_and_served() {
    let mut cluster = TestCluster::start();
    let mut read = cluster.start_read("a1");

    let request = SplitRequest::new(&encode_read_request("a2"));
    let mut second_client = cluster
        .gateway
        .connect_with_partial_request(&request.first_half);
    cluster.gateway.request_shutdown_and_wait_for_idle_close();
    second_client.send(request.second_half);
    cluster.gateway.wait_until_input_is_processed();

    read.complete_and_expect_client_close("one");
    serve_last_request(&mut read.node, &mut second_client, "a2", "two");
    cluster.gateway.expect_clean_exit();
}

#[test]
fn pipelined_requests_are_served_before_the_close() {
    let mut cluster = TestCluster::start();
    let pipeline =
        encode_read_request("a1") + &encode_read_request("a2") + &encode_read_request("a3");
    let mut client = cluster.gateway.connect_and_send(pipeline);
    let mut node = cluster.node_a.accept_request("a1");

    cluster.gateway.request_shutdown_and_wait_for_idle_close();
    node.respond("one");
    for (id, value) in [("a2", "two"), ("a3", "three")] {
        node.expect_request(id);
        node.respond(value);
    }

    for value in ["one", "two", "three"] {
        client.expect_value(value);
    }
    client.expect_closed();
    cluster.gateway.expect_clean_exit();
}

#[test]
fn request_sent_after_the_idle_connection_was_closed_is_not_forwarded() {
    let mut cluster = TestCluster::start();
    let mut read = cluster.start_read("a1");
    let mut idle_client = cluster.gateway.connect_idle_client();

    cluster.gateway.request_shutdown();
    idle_client.expect_closed();
    idle_client.send_after_close(encode_read_request("a2"));
    let mut third_client = cluster
        .gateway
        .connect_and_send_while_paused(encode_read_request("a3"));
    cluster.gateway.wait_until_input_is_processed();

    read.complete("one");
    serve_request(&mut read.node, &mut third_client, "a3", "three");
    cluster.gateway.expect_clean_exit();
    cluster.node_a.expect_no_further_connection();
}

/// A `PING` is ready in the same turn of the event loop as the last response. If the gateway
/// closed the connection with unread bytes, the kernel would reset it, and the client could lose
/// the response.
#[test]
fn bytes_received_with_the_last_response_do_not_reset_the_connection() {
    let mut cluster = TestCluster::start();
    let mut read = cluster.start_read("a1");
    cluster.gateway.request_shutdown_and_wait_for_idle_close();

    cluster.gateway.pause();
    read.node.respond("one");
    read.client.send_ping();
    cluster.gateway.resume();

    read.client.expect_value("one");
    read.client.expect_pong();
    read.client.expect_closed();
    cluster.gateway.expect_clean_exit();
}

/// The bytes become ready too late for the turn of the event loop in which the gateway sends the
/// response and closes the connection. Closing it with unread bytes would reset it.
#[test]
fn unread_bytes_at_the_close_do_not_reset_the_connection() {
    let mut cluster = TestCluster::start_with(with_1024_descriptors);
    let mut read = cluster.start_read("a1");
    cluster.gateway.request_shutdown_and_wait_for_idle_close();
    let request = SplitRequest::new(&encode_read_request("a2"));
    let mut other_clients = cluster
        .gateway
        .connect_more_partial_requests_than_one_turn_handles(&request.first_half);

    cluster.gateway.pause();
    read.node.respond("one");
    for client in &mut other_clients {
        client.send(&request.second_half[..1]);
    }
    read.client.send_ping();
    cluster.gateway.resume();

    read.client.expect_value_and_close("one");
    drop(other_clients);
    cluster.gateway.expect_clean_exit();
}

/// The attempt of the closed client is the only work left: the gateway cancels it and exits.
#[test]
fn client_close_cancels_the_attempt() {
    let mut cluster = TestCluster::start();
    let mut read = cluster.start_read("a1");

    cluster.gateway.request_shutdown_and_wait_for_idle_close();
    read.client.close();

    read.node.expect_closed();
    cluster.gateway.expect_clean_exit();
    cluster.node_a.expect_no_further_connection();
}

#[test]
fn read_is_retried_after_a_node_reset() {
    let mut cluster = TestCluster::start();
    let mut read = cluster.start_read("a1");

    cluster.gateway.request_shutdown_and_wait_for_idle_close();
    read.node.reset();

    read.node = cluster.node_a.accept_request("a1");
    read.complete_and_expect_client_close("one");
    cluster.gateway.expect_clean_exit();
}

/// The retry must not forward the original deadline: the node would work on a request that the
/// client no longer waits for.
#[test]
fn retry_forwards_the_remaining_deadline() {
    const DEADLINE_MS: u32 = 2_500;
    let mut cluster = TestCluster::start();
    let mut client = cluster
        .gateway
        .connect_and_send(encode_read_request_with_deadline("a1", DEADLINE_MS));
    let sent = Instant::now();
    let mut node = cluster.node_a.accept();
    let first_deadline = forwarded_deadline_ms(&node.expect_request("a1"));
    assert!((1_500..=u128::from(DEADLINE_MS)).contains(&first_deadline));

    cluster.gateway.request_shutdown_and_wait_for_idle_close();
    let elapsed_ms = sent.elapsed().as_millis();
    node.reset();

    let mut node = cluster.node_a.accept();
    let second_deadline = forwarded_deadline_ms(&node.expect_request("a1"));
    assert!(second_deadline + elapsed_ms <= u128::from(DEADLINE_MS));
    node.respond("one");
    client.expect_value("one");
    cluster.gateway.expect_clean_exit();
}

#[test]
fn new_object_is_not_written_to_a_draining_node() {
    let mut cluster = TestCluster::start();
    let read = cluster.start_read("a1");

    cluster.gateway.request_shutdown_and_wait_for_idle_close();
    cluster.drain_node_b();

    cluster.expect_write_goes_to_node_a(read);
    cluster.gateway.expect_clean_exit();
}

/// Until it exits, the gateway needs to know which nodes are draining.
#[test]
fn broken_watch_is_reopened() {
    let mut cluster = TestCluster::start();
    let read = cluster.start_read("a1");

    cluster.gateway.request_shutdown_and_wait_for_idle_close();
    let entries = cluster.entries_with_node_b_draining();
    cluster.watch.reset();
    cluster.watch = cluster.discovery.accept_watch_and_send(3, &entries);
    cluster.wait_for_update_of_two_endpoints();

    cluster.expect_write_goes_to_node_a(read);
    cluster.gateway.expect_clean_exit();
}

#[test]
fn simultaneous_sigterm_and_sighup_are_both_handled() {
    let mut cluster = TestCluster::start();
    let mut read = cluster.start_read("a1");
    let new_discovery = FakeDiscovery::new();
    cluster.gateway.write_config_with_discovery(&new_discovery);

    cluster.gateway.pause();
    cluster.gateway.send_sigterm();
    cluster.gateway.send_sighup();
    cluster.gateway.resume();

    let _watch = new_discovery.accept_watch_and_send(1, &[cluster.node_a.in_service_entry()]);
    read.complete_and_expect_client_close("one");
    cluster.gateway.expect_clean_exit();
}

/// The kill comes the longest deadline, counted as at most 3 s, plus 0.7 s after SIGTERM.
const KILL_AFTER_SIGTERM: Duration = Duration::from_millis(3_700);

/// Both requests may wait until after the kill, and the node never answers. One arrives on a
/// connection that a request from before SIGTERM keeps open, the other one on a new connection.
#[test]
fn request_received_late_in_a_shutdown_is_answered_before_the_kill() {
    let mut cluster = TestCluster::start();
    let mut read = cluster.start_read("a1");
    let kill_at = Instant::now() + KILL_AFTER_SIGTERM;
    cluster.gateway.request_shutdown_and_wait_for_idle_close();

    read.client.send(encode_read_request("a2"));
    let mut second_client = cluster
        .gateway
        .connect_and_send_while_paused(encode_read_request("a3"));

    let a3_is_answered = second_client.gets_reply_or_close_before(kill_at);
    let a1_is_answered = read.client.gets_reply_or_close_before(kill_at);
    let a2_is_answered = read.client.gets_reply_or_close_before(kill_at);
    assert_eq!(
        [a1_is_answered, a2_is_answered, a3_is_answered],
        [true; 3],
        "a1, a2 and a3 must be answered before the kill"
    );
}

/// The last byte of the request arrives so late that the node has no time to answer.
#[test]
fn request_completed_just_before_the_kill_has_a_reply_or_a_closed_connection() {
    let mut cluster = TestCluster::start();
    let _read = cluster.start_read("a1");
    let kill_at = Instant::now() + KILL_AFTER_SIGTERM;
    cluster.gateway.request_shutdown();
    let request = SplitRequest::new(&encode_read_request("a2"));
    wait_until(kill_at - Duration::from_millis(2_000));
    let mut client = cluster
        .gateway
        .connect_and_send_while_paused(&request.first_half);

    wait_until(kill_at - Duration::from_millis(100));
    client.send_after_close(request.second_half);

    let is_answered = client.gets_reply_or_close_before(kill_at);
    assert!(is_answered, "a2 has no reply before the kill");
}
