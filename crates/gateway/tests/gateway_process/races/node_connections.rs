//! Responses, resets and late connections of nodes, against drains, deadlines and further
//! requests.

use crate::harness::cluster::{serve_request, TestCluster};
use crate::harness::config::{
    with_long_connect_timeout, with_many_sockets, with_short_drain_grace,
};
use crate::harness::discovery::delta_chunk;
use crate::harness::gateway::READ_SIZE;
use crate::harness::node::StorageNode;
use crate::harness::requests::{
    read_request, read_request_of_another_object, read_request_with_deadline, value_response,
    write_request, SplitRequest,
};

/// A complete response and a reset are ready in one iteration of the event loop; the response came
/// first.
#[test]
fn response_received_before_a_reset_is_passed_on() {
    let cluster = TestCluster::start();
    let mut read = cluster.start_read("a1");
    // The response takes exactly two reads: after them only the reset is left.
    let value = "v".repeat(2 * READ_SIZE - value_response("").len() - 4);
    assert_eq!(value_response(&value).len(), 2 * READ_SIZE);

    cluster.gateway.pause();
    read.node.respond(&value);
    read.node.reset();
    cluster.gateway.resume();

    read.client.expect_value(&value);
    // The read is not retried.
    cluster.node_a.expect_no_further_connection();
}

#[test]
fn retry_after_a_reset_goes_to_the_successor_of_a_draining_node() {
    let mut cluster = TestCluster::start();
    let mut read = cluster.start_read("a1");
    let successor = StorageNode::new("c", 0);

    cluster.send_delta(3, &[cluster.node_a.terminating(), successor.in_service()]);
    read.node.reset();

    read.node = successor.accept_request("a1");
    read.complete("one");
    cluster.node_a.expect_no_further_connection();
}

/// A request is dispatched only after its last byte has arrived.
#[test]
fn request_completed_after_a_drain_avoids_the_draining_node() {
    let mut cluster = TestCluster::start();
    let mut read = cluster.start_read("a1");
    let request = SplitRequest::new(&write_request("w1"));
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

/// Nothing further is sent on the connection: its node is gone.
#[test]
fn response_received_together_with_a_removal_is_passed_on() {
    let mut cluster = TestCluster::start();
    let mut read = cluster.start_read("a1");

    cluster.gateway.pause();
    cluster
        .watch
        .send(delta_chunk(3, &[cluster.node_a.terminated()]));
    read.node.respond("one");
    cluster.gateway.resume();

    read.client.expect_value("one");
    read.node.expect_closed();
}

#[test]
fn response_after_the_deadline_is_ignored() {
    let cluster = TestCluster::start();
    let mut client = cluster
        .gateway
        .connect_and_send(read_request_with_deadline("a1", 400));
    let mut node = cluster.node_a.accept_request("a1");

    client.expect_busy();
    node.expect_closed();
    node.send_after_close(value_response("one"));

    // A request for the same object would count as a repeat of the first one, which is late.
    client.send(read_request_of_another_object("a2"));
    let mut node = cluster.node_a.accept();
    serve_request(&mut node, &mut client, "a2", "two");
}

#[test]
fn connection_established_after_the_drain_grace_carries_no_request() {
    let mut cluster = TestCluster::start_with(|config| {
        with_long_connect_timeout(&with_short_drain_grace(config))
    });
    let queue = cluster.node_a.fill_accept_queue();
    let mut client = cluster.gateway.connect_and_send(read_request("a1"));
    cluster.gateway.wait_until_input_is_processed();

    cluster.send_delta(3, &[cluster.node_a.terminating()]);
    cluster.node_a.empty_accept_queue(&queue);
    let mut node = cluster.node_a.accept();

    client.expect_busy();
    cluster
        .watch
        .send(delta_chunk(4, &[cluster.node_a.terminated()]));
    // Nothing was sent on it.
    node.expect_closed();
}

/// The request is dispatched in the iteration before the one in which the idle connection would be
/// reported.
#[test]
fn unsolicited_response_on_an_idle_connection_is_not_taken_for_the_next_one() {
    let cluster = TestCluster::start_with(with_many_sockets);
    let mut read = cluster.start_read("a1");
    read.complete("one");
    let mut others = cluster.gateway.connect_clients_for_a_full_iteration();

    cluster.gateway.pause();
    read.client.send(read_request("a2"));
    for client in &mut others {
        client.send_ping();
    }
    read.node.respond("unsolicited");
    cluster.gateway.resume();

    read.node.expect_closed();
    let mut node = cluster.node_a.accept();
    serve_request(&mut node, &mut read.client, "a2", "two");
}
