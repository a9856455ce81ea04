//! Races between a reload (SIGHUP) that changes the address of discovery and events of clients,
//! nodes and the old watch.

use crate::harness::cluster::{serve_request, TestCluster};
use crate::harness::discovery::{encode_chunk, encode_update_line, FakeDiscovery, UpdateKind};
use crate::harness::log_lines;
use crate::harness::requests::{encode_read_request, encode_write_request, SplitRequest};

/// The first half of the request arrives before the reload, the second half after it.
#[test]
fn partial_request_is_completed_and_served() {
    let mut cluster = TestCluster::start();
    let request = SplitRequest::new(&encode_read_request("a1"));
    let mut client = cluster
        .gateway
        .connect_with_partial_request(&request.first_half);

    let new_discovery = FakeDiscovery::new();
    cluster.gateway.reload_with_discovery(&new_discovery);
    let _watch = new_discovery.accept_watch_and_send(1, &cluster.both_nodes_in_service());
    client.send(request.second_half);

    let mut node = cluster.node_a.accept();
    serve_request(&mut node, &mut client, "a1", "one");
    cluster.watch.expect_closed();
}

/// SIGHUP and the response are ready in the same turn of the event loop. The gateway asks the
/// new discovery service for a snapshot (index 0), because that service may number its updates
/// differently.
#[test]
fn response_received_together_with_sighup_is_sent_to_the_client() {
    let mut cluster = TestCluster::start();
    let mut read = cluster.start_read("a1");
    let new_discovery = FakeDiscovery::new();
    cluster.gateway.write_config_with_discovery(&new_discovery);

    cluster.gateway.pause();
    cluster.gateway.send_sighup();
    read.node.respond("one");
    cluster.gateway.resume();

    read.client.expect_value("one");
    let _watch = new_discovery.accept_watch_from(0);
}

#[test]
fn new_object_is_not_written_to_a_node_that_drains_in_the_new_list() {
    let mut cluster = TestCluster::start();
    let read = cluster.start_read("a1");

    let new_discovery = FakeDiscovery::new();
    cluster.gateway.reload_with_discovery(&new_discovery);
    cluster.watch = new_discovery.accept_watch_and_send(1, &cluster.entries_with_node_b_draining());
    cluster.gateway.wait_until_input_is_processed();

    cluster.expect_write_goes_to_node_a(read);
}

/// The gateway receives the first half of an update that drains node B before the reload. The
/// second half, which arrives on the old watch after the reload, must not drain node B.
#[test]
fn rest_of_an_update_on_the_old_watch_is_ignored() {
    let mut cluster = TestCluster::start();
    let mut read = cluster.start_read("a1");
    let update = encode_chunk(&encode_update_line(
        3,
        UpdateKind::Delta,
        &[cluster.node_b.draining_entry()],
    ));
    let (first_half, second_half) = update.split_at(update.len() / 2);
    cluster.watch.send(first_half);
    cluster.gateway.wait_until_input_is_processed();

    let new_discovery = FakeDiscovery::new();
    cluster.gateway.reload_with_discovery(&new_discovery);
    let _watch = new_discovery.accept_watch_and_send(1, &cluster.both_nodes_in_service());
    cluster.wait_for_update_of_two_endpoints();
    cluster.watch.send_after_close(second_half);

    // Node B is still in service.
    let mut writer = cluster
        .gateway
        .connect_and_send_while_paused(encode_write_request("w1"));
    let mut node_b = cluster.node_b.accept();
    serve_request(&mut node_b, &mut writer, "w1", "written");
    read.complete("one");
}

/// The new discovery service refuses connections at first. The gateway closes the old watch anyway.
#[test]
fn connection_to_the_new_discovery_is_retried_until_it_listens() {
    let mut cluster = TestCluster::start();
    let read = cluster.start_read("a1");

    let mut new_discovery = FakeDiscovery::new_stopped();
    cluster.gateway.reload_with_discovery(&new_discovery);
    cluster.gateway.wait_for_log(log_lines::CONNECTION_REFUSED);
    cluster.watch.expect_closed();
    new_discovery.listen_again();
    cluster.watch = new_discovery.accept_watch_and_send(1, &cluster.entries_with_node_b_draining());
    cluster.wait_for_update_of_two_endpoints();

    cluster.expect_write_goes_to_node_a(read);
}
