//! SIGTERM against events of clients, nodes and discovery.

use crate::harness::cluster::{serve_request, TestCluster};
use crate::harness::config::with_many_sockets;
use crate::harness::connection::Connection;
use crate::harness::discovery::DiscoveryService;
use crate::harness::requests::{
    forwarded_deadline_ms, read_request, read_request_with_deadline, SplitRequest,
};
use std::time::Instant;

/// As [`serve_request`]; the gateway then closes the client's connection.
#[track_caller]
fn serve_last_request(node: &mut Connection, client: &mut Connection, id: &str, value: &str) {
    serve_request(node, client, id, value);
    client.expect_closed();
}

#[test]
fn client_accepted_after_sigterm_is_served() {
    let mut cluster = TestCluster::start();
    let mut read = cluster.start_read("a1");

    cluster.gateway.begin_draining();
    let mut second = cluster.gateway.connect_and_send_at_once(read_request("a2"));
    cluster.gateway.wait_until_input_is_processed();

    read.complete_and_expect_close("one");
    serve_last_request(&mut read.node, &mut second, "a2", "two");
    cluster.gateway.expect_clean_exit();
}

#[test]
fn client_accepted_together_with_the_last_response_is_served() {
    let mut cluster = TestCluster::start();
    let mut read = cluster.start_read("a1");
    cluster.gateway.begin_draining();

    cluster.gateway.pause();
    read.node.respond("one");
    let mut second = cluster.gateway.connect_and_send(read_request("a2"));
    cluster.gateway.resume();

    read.client.expect_last_value("one");
    serve_last_request(&mut read.node, &mut second, "a2", "two");
    cluster.gateway.expect_clean_exit();
}

#[test]
fn partial_request_is_completed_and_served() {
    let mut cluster = TestCluster::start();
    let mut read = cluster.start_read("a1");

    let request = SplitRequest::new(&read_request("a2"));
    let mut second = cluster
        .gateway
        .connect_with_partial_request(&request.first_half);
    cluster.gateway.begin_draining();
    second.send(request.second_half);
    cluster.gateway.wait_until_input_is_processed();

    read.complete_and_expect_close("one");
    serve_last_request(&mut read.node, &mut second, "a2", "two");
    cluster.gateway.expect_clean_exit();
}

#[test]
fn pipelined_requests_are_served_before_the_close() {
    let mut cluster = TestCluster::start();
    let pipeline = read_request("a1") + &read_request("a2") + &read_request("a3");
    let mut client = cluster.gateway.connect_and_send(pipeline);
    let mut node = cluster.node_a.accept_request("a1");

    cluster.gateway.begin_draining();
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
fn request_on_a_closed_idle_connection_is_not_forwarded() {
    let mut cluster = TestCluster::start();
    let mut read = cluster.start_read("a1");
    let mut idle = cluster.gateway.connect_idle_client();

    cluster.gateway.request_shutdown();
    idle.expect_closed();
    idle.send_after_close(read_request("a2"));
    let mut third = cluster.gateway.connect_and_send_at_once(read_request("a3"));
    cluster.gateway.wait_until_input_is_processed();

    read.complete("one");
    serve_request(&mut read.node, &mut third, "a3", "three");
    cluster.gateway.expect_clean_exit();
    cluster.node_a.expect_no_further_connection();
}

/// A reset could destroy the response on its way.
#[test]
fn bytes_received_during_the_close_do_not_reset_the_connection() {
    let mut cluster = TestCluster::start();
    let mut read = cluster.start_read("a1");
    cluster.gateway.begin_draining();

    cluster.gateway.pause();
    read.node.respond("one");
    read.client.send_ping();
    cluster.gateway.resume();

    read.client.expect_value("one");
    read.client.expect_pong();
    read.client.expect_closed();
    cluster.gateway.expect_clean_exit();
}

/// The bytes become ready too late for the iteration in which the response is sent and the
/// connection is closed: closing it with unread bytes would reset it.
#[test]
fn bytes_left_unread_at_the_close_do_not_reset_the_connection() {
    let mut cluster = TestCluster::start_with(with_many_sockets);
    let mut read = cluster.start_read("a1");
    cluster.gateway.begin_draining();
    let request = SplitRequest::new(&read_request("a2"));
    let mut others = cluster
        .gateway
        .connect_unfinished_clients_for_a_full_iteration(&request.first_half);

    cluster.gateway.pause();
    read.node.respond("one");
    for client in &mut others {
        client.send(&request.second_half[..1]);
    }
    read.client.send_ping();
    cluster.gateway.resume();

    read.client.expect_last_value("one");
    drop(others);
    cluster.gateway.expect_clean_exit();
}

#[test]
fn client_close_cancels_the_attempt() {
    let mut cluster = TestCluster::start();
    let mut read = cluster.start_read("a1");

    cluster.gateway.begin_draining();
    read.client.close();

    read.node.expect_closed();
    cluster.gateway.expect_clean_exit();
    cluster.node_a.expect_no_further_connection();
}

#[test]
fn read_is_retried_after_a_node_reset() {
    let mut cluster = TestCluster::start();
    let mut read = cluster.start_read("a1");

    cluster.gateway.begin_draining();
    read.node.reset();

    read.node = cluster.node_a.accept_request("a1");
    read.complete_and_expect_close("one");
    cluster.gateway.expect_clean_exit();
}

#[test]
fn retry_forwards_the_remaining_deadline() {
    const DEADLINE_MS: u32 = 2_500;
    let mut cluster = TestCluster::start();
    let mut client = cluster
        .gateway
        .connect_and_send(read_request_with_deadline("a1", DEADLINE_MS));
    let sent = Instant::now();
    let mut node = cluster.node_a.accept();
    let first_deadline = forwarded_deadline_ms(&node.expect_request("a1"));
    assert!((1_500..=u128::from(DEADLINE_MS)).contains(&first_deadline));

    cluster.gateway.begin_draining();
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
fn draining_node_gets_no_new_object() {
    let mut cluster = TestCluster::start();
    let read = cluster.start_read("a1");

    cluster.gateway.begin_draining();
    cluster.drain_node_b();

    cluster.expect_new_object_avoids_node_b(read);
    cluster.gateway.expect_clean_exit();
}

#[test]
fn broken_watch_is_reopened() {
    let mut cluster = TestCluster::start();
    let read = cluster.start_read("a1");

    cluster.gateway.begin_draining();
    let entries = cluster.node_b_draining();
    cluster.watch.reset();
    cluster.watch = cluster.discovery.accept_watch_and_send(3, &entries);
    cluster.wait_for_list_of_both_nodes();

    cluster.expect_new_object_avoids_node_b(read);
    cluster.gateway.expect_clean_exit();
}

#[test]
fn simultaneous_sigterm_and_sighup_are_both_handled() {
    let mut cluster = TestCluster::start();
    let mut read = cluster.start_read("a1");
    let new_discovery = DiscoveryService::new();
    cluster.gateway.write_discovery_address(&new_discovery);

    cluster.gateway.pause();
    cluster.gateway.send_sigterm();
    cluster.gateway.send_sighup();
    cluster.gateway.resume();

    let _watch = new_discovery.accept_watch_and_send(1, &[cluster.node_a.in_service()]);
    read.complete_and_expect_close("one");
    cluster.gateway.expect_clean_exit();
}
