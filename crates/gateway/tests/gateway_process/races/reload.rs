//! SIGHUP with a new address of discovery, against events of clients, nodes and the old watch.

use crate::harness::cluster::{serve_request, TestCluster};
use crate::harness::discovery::{encode_chunk, watch_event, DiscoveryService, UpdateKind};
use crate::harness::log_lines;
use crate::harness::requests::{read_request, write_request, SplitRequest};

#[test]
fn partial_request_is_completed_and_served() {
    let mut cluster = TestCluster::start();
    let request = SplitRequest::new(&read_request("a1"));
    let mut client = cluster
        .gateway
        .connect_with_partial_request(&request.first_half);

    let new_discovery = DiscoveryService::new();
    cluster.gateway.reload_with_discovery(&new_discovery);
    let _watch = new_discovery.accept_watch_and_send(1, &cluster.both_in_service());
    client.send(request.second_half);

    let mut node = cluster.node_a.accept();
    serve_request(&mut node, &mut client, "a1", "one");
    cluster.watch.expect_closed();
}

/// The new discovery service may number its events differently: it is asked for the whole list.
#[test]
fn response_received_with_sighup_is_passed_on() {
    let mut cluster = TestCluster::start();
    let mut read = cluster.start_read("a1");
    let new_discovery = DiscoveryService::new();
    cluster.gateway.write_discovery_address(&new_discovery);

    cluster.gateway.pause();
    cluster.gateway.send_sighup();
    read.node.respond("one");
    cluster.gateway.resume();

    read.client.expect_value("one");
    let _watch = new_discovery.accept_watch_from(0);
}

#[test]
fn node_that_drains_in_the_new_list_gets_no_new_object() {
    let mut cluster = TestCluster::start();
    let read = cluster.start_read("a1");

    let new_discovery = DiscoveryService::new();
    cluster.gateway.reload_with_discovery(&new_discovery);
    cluster.watch = new_discovery.accept_watch_and_send(1, &cluster.node_b_draining());
    cluster.gateway.wait_until_input_is_processed();

    cluster.expect_new_object_avoids_node_b(read);
}

#[test]
fn rest_of_an_event_of_the_old_watch_is_ignored() {
    let mut cluster = TestCluster::start();
    let mut read = cluster.start_read("a1");
    let event = encode_chunk(&watch_event(
        3,
        UpdateKind::Delta,
        &[cluster.node_b.terminating()],
    ));
    let (first_half, second_half) = event.split_at(event.len() / 2);
    cluster.watch.send(first_half);
    cluster.gateway.wait_until_input_is_processed();

    let new_discovery = DiscoveryService::new();
    cluster.gateway.reload_with_discovery(&new_discovery);
    let _watch = new_discovery.accept_watch_and_send(1, &cluster.both_in_service());
    cluster.wait_for_list_of_both_nodes();
    cluster.watch.send_after_close(second_half);

    // Node B still serves.
    let mut writer = cluster
        .gateway
        .connect_and_send_at_once(write_request("w1"));
    let mut node_b = cluster.node_b.accept();
    serve_request(&mut node_b, &mut writer, "w1", "written");
    read.complete("one");
}

#[test]
fn new_discovery_is_polled_until_it_accepts_the_watch() {
    let mut cluster = TestCluster::start();
    let read = cluster.start_read("a1");

    let mut new_discovery = DiscoveryService::new_stopped();
    cluster.gateway.reload_with_discovery(&new_discovery);
    cluster.gateway.wait_for_log(log_lines::CONNECTION_REFUSED);
    cluster.watch.expect_closed();
    new_discovery.listen_again();
    cluster.watch = new_discovery.accept_watch_and_send(1, &cluster.node_b_draining());
    cluster.wait_for_list_of_both_nodes();

    cluster.expect_new_object_avoids_node_b(read);
}
