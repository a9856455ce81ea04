//! The gateway closes idle client connections to free descriptors, against what clients and
//! discovery do.

use crate::harness::cluster::{serve_request, TestCluster};
use crate::harness::config::{with_debug_log, with_few_sockets};
use crate::harness::connection::Connection;
use crate::harness::log_lines;
use crate::harness::requests::read_request;

#[test]
fn request_after_an_idle_close_is_not_forwarded() {
    let cluster = TestCluster::start();
    let mut read = cluster.start_read("a1");
    let mut idle = cluster.gateway.connect_idle_client();
    read.complete("one");

    idle.expect_closed();
    idle.send_after_close(read_request("a2"));

    let mut last = cluster.gateway.connect_and_send(read_request("a3"));
    serve_request(&mut read.node, &mut last, "a3", "three");
}

/// The request is ready in the iteration in which the gateway needs the descriptor for a new
/// client.
#[test]
fn request_received_together_with_an_eviction_is_served() {
    let cluster = TestCluster::start_with(with_few_sockets);
    let mut oldest = cluster.gateway.connect_idle_client();
    // With the oldest, these are all the clients that the gateway has descriptors for.
    let _others: Vec<Connection> = (0..23)
        .map(|_| cluster.gateway.connect_idle_client())
        .collect();

    cluster.gateway.pause();
    let mut new = cluster.gateway.connect();
    oldest.send(read_request("a1"));
    new.send_ping();
    cluster.gateway.resume();

    let mut node = cluster.node_a.accept();
    serve_request(&mut node, &mut oldest, "a1", "one");
    new.expect_pong();
}

/// Clients that send one request and keep their connection may use a third of all descriptors for
/// it. They are evicted before that: once they hold more than a fourth, the first connection that
/// becomes idle is closed, right after its response and while the others wait for theirs.
#[test]
fn idle_connection_is_evicted_before_requests_take_all_descriptors() {
    let mut cluster = TestCluster::start_with(|config| with_debug_log(&with_few_sockets(config)));
    let mut clients: Vec<Connection> = (0..17)
        .map(|number| {
            let client = cluster
                .gateway
                .connect_and_send(read_request(&format!("a{number}")));
            cluster.gateway.wait_until_input_is_processed();
            client
        })
        .collect();
    let mut node = cluster.node_a.accept();

    serve_request(&mut node, &mut clients[0], "a0", "v0");
    cluster
        .gateway
        .wait_for_log(log_lines::IDLE_CONNECTION_EVICTED);
    clients[0].expect_closed();

    // With one connection less they are within the limit: the next idle one is kept.
    node.expect_request("a1");
    node.respond("v1");
    clients[1].send_ping();
    clients[1].expect_value("v1");
    clients[1].expect_pong();
}

/// Idle clients hold all descriptors that clients may use while discovery is down.
#[test]
fn watch_is_reopened_while_idle_clients_hold_their_descriptors() {
    let (cluster, _idle) = TestCluster::start_before_discovery(with_few_sockets, |gateway| {
        let idle: Vec<Connection> = (0..80).map(|_| gateway.connect()).collect();
        gateway.wait_until_input_is_processed();
        idle
    });
    cluster.expect_node_b_drains();
}
