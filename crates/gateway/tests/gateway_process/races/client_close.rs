//! A client closes its connection while its request is read, pending or in flight.

use crate::harness::cluster::{serve_request, TestCluster};
use crate::harness::config::{with_long_connect_timeout, with_many_sockets, without_cancellation};
use crate::harness::node::StorageNode;
use crate::harness::requests::read_request;

/// The connection, its request and its close are all ready in one iteration of the event loop.
#[test]
fn request_received_together_with_the_close_is_not_forwarded() {
    let cluster = TestCluster::start();
    let mut read = cluster.start_read("a1");

    cluster.gateway.pause();
    let complete_request = read_request("a2");
    let partial_request = &read_request("a3")[..40];
    for request in [complete_request.as_str(), partial_request] {
        cluster.gateway.connect_and_send(request).close();
    }
    let mut last = cluster.gateway.connect_and_send(read_request("a4"));
    cluster.gateway.resume();
    cluster.gateway.wait_until_input_is_processed();

    read.complete("one");
    serve_request(&mut read.node, &mut last, "a4", "four");
}

/// The close follows more bytes than the gateway reads while requests are in flight.
#[test]
fn close_behind_unread_requests_is_noticed() {
    let cluster = TestCluster::start();
    let mut read = cluster.start_read("a1");
    let requests: String = (0..700)
        .map(|number| read_request(&format!("g{number}")))
        .collect();
    let closing = cluster.gateway.connect_and_send(requests);
    cluster.gateway.wait_until_input_is_processed();

    closing.close();
    cluster.gateway.wait_until_input_is_processed();

    let mut last = cluster.gateway.connect_and_send(read_request("a2"));
    cluster.gateway.wait_until_input_is_processed();
    read.complete("one");
    serve_request(&mut read.node, &mut last, "a2", "two");
}

#[test]
fn attempt_of_a_closed_client_is_not_retried_after_a_node_reset() {
    let cluster = TestCluster::start_with(without_cancellation);
    let read = cluster.start_read("a1");

    read.client.close();
    cluster.gateway.wait_until_input_is_processed();
    read.node.reset();

    let mut last = cluster.gateway.connect_and_send(read_request("a2"));
    let mut node = cluster.node_a.accept();
    serve_request(&mut node, &mut last, "a2", "two");
    cluster.node_a.expect_no_further_connection();
}

#[test]
fn response_for_a_closed_client_is_not_given_to_the_next_request() {
    let cluster = TestCluster::start_with(without_cancellation);
    let mut read = cluster.start_read("a1");

    read.client.close();
    let mut last = cluster.gateway.connect_and_send(read_request("a2"));
    cluster.gateway.wait_until_input_is_processed();
    read.node.respond("one");

    serve_request(&mut read.node, &mut last, "a2", "two");
}

/// The client leaves while its attempt waits for a connection to be established: the late
/// connection carries only the next client's request.
fn expect_late_connection_serves_the_next_client(edit_config: impl Fn(&str) -> String) {
    let cluster = TestCluster::start_with(edit_config);
    let queue = cluster.node_a.fill_accept_queue();
    let closing = cluster.gateway.connect_and_send(read_request("a1"));
    cluster.gateway.wait_until_input_is_processed();

    closing.close();
    cluster.gateway.wait_until_input_is_processed();
    let mut last = cluster.gateway.connect_and_send(read_request("a2"));
    cluster.gateway.wait_until_input_is_processed();
    cluster.node_a.empty_accept_queue(&queue);

    let mut node = cluster.node_a.accept();
    serve_request(&mut node, &mut last, "a2", "two");
}

#[test]
fn attempt_waiting_for_its_connection_is_cancelled() {
    expect_late_connection_serves_the_next_client(with_long_connect_timeout);
}

#[test]
fn attempt_waiting_for_its_connection_is_dropped_where_cancellation_is_off() {
    expect_late_connection_serves_the_next_client(|config| {
        with_long_connect_timeout(&without_cancellation(config))
    });
}

/// The request waits for the successor of a node that drains.
#[test]
fn request_waiting_for_a_successor_is_dropped() {
    let mut cluster = TestCluster::start();
    let mut read = cluster.start_read("a1");
    let waiting = cluster.gateway.connect_and_send_at_once(read_request("a2"));
    cluster.gateway.wait_until_input_is_processed();
    cluster.send_delta(3, &[cluster.node_a.terminating()]);

    waiting.close();
    cluster.gateway.wait_until_input_is_processed();
    let successor = StorageNode::new("c", 0);
    cluster.send_delta(4, &[successor.in_service()]);

    let mut last = cluster.gateway.connect_and_send_at_once(read_request("a3"));
    let mut successor_connection = successor.accept();
    serve_request(&mut successor_connection, &mut last, "a3", "three");
    read.complete("one");
}

/// The response to the first request frees the node for the second one, which is dispatched in
/// that iteration. The client's reset becomes ready too late for the iteration: only sending the
/// response reveals it.
#[test]
fn attempt_dispatched_in_the_iteration_that_reveals_the_close_is_not_started() {
    let cluster = TestCluster::start_with(with_many_sockets);
    let closing = cluster
        .gateway
        .connect_and_send(read_request("a1") + &read_request("a2"));
    let mut node = cluster.node_a.accept_request("a1");
    let mut others = cluster.gateway.connect_clients_for_a_full_iteration();

    cluster.gateway.pause();
    node.respond("one");
    for client in &mut others {
        client.send_ping();
    }
    closing.reset();
    cluster.gateway.resume();
    cluster.gateway.wait_until_input_is_processed();

    let mut last = cluster.gateway.connect_and_send(read_request("a3"));
    serve_request(&mut node, &mut last, "a3", "three");
}
