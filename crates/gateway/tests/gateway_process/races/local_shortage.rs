//! Races between a shortage of descriptors in the gateway, and its clients and nodes.

use crate::harness::cluster::{serve_request, TestCluster};
use crate::harness::requests::encode_read_request;
use crate::harness::wait_until;
use std::time::{Duration, Instant};

/// More requests than failed connects that eject a node.
const REQUESTS: usize = 5;
/// The limit on descriptors after the shortage.
const DESCRIPTORS: u64 = 256;

/// The gateway cannot open connections to its nodes. Requests get a rejection, and the node is used
/// again afterwards.
#[test]
fn requests_are_rejected_during_a_shortage_of_descriptors_and_served_after_it() {
    let cluster = TestCluster::start();
    let mut client = cluster.gateway.connect_idle_client();

    cluster.gateway.limit_descriptors(None);
    for number in 0..REQUESTS {
        client.send(encode_read_request(&format!("a{number}")));
        client.expect_busy();
    }
    cluster.gateway.limit_descriptors(Some(DESCRIPTORS));

    client.send(encode_read_request("b1"));
    let mut node = cluster.node_a.accept();
    serve_request(&mut node, &mut client, "b1", "one");
}

/// A client waits in the accept queue, and the only connection cannot be evicted. The event loop
/// must wait instead of trying to accept in every turn.
#[test]
fn event_loop_waits_while_a_connection_cannot_be_accepted() {
    let cluster = TestCluster::start();
    let mut read = cluster.start_read("a1");

    cluster.gateway.limit_descriptors(None);
    let waiting_since = Instant::now();
    let ticks_before = cluster.gateway.processor_ticks();
    let mut waiting = cluster.gateway.connect_and_send(encode_read_request("a2"));
    wait_until(waiting_since + Duration::from_secs(1));
    let ticks = cluster.gateway.processor_ticks() - ticks_before;
    cluster.gateway.limit_descriptors(Some(DESCRIPTORS));

    // One second has 100 ticks; a loop that does not wait uses all that it gets.
    assert!(ticks < 25, "{ticks} of 100 ticks were used");
    read.complete("one");
    serve_request(&mut read.node, &mut waiting, "a2", "two");
}
