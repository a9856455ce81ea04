//! Races between the gateway's close of idle client connections, which frees file descriptors, and
//! the input of clients and discovery.

use crate::harness::cluster::{serve_request, TestCluster};
use crate::harness::config::{with_64_descriptors, with_debug_log};
use crate::harness::connection::Connection;
use crate::harness::log_lines;
use crate::harness::requests::{
    encode_read_request, encode_read_request_of_unknown_class, SplitRequest,
};
use crate::harness::wait_until;
use std::time::{Duration, Instant};

/// How long a client connection may be idle.
const IDLE_TIMEOUT: Duration = Duration::from_millis(2_500);

/// The gateway has already closed the idle connection when the client sends a request on it.
#[test]
fn request_sent_after_an_idle_close_is_not_forwarded() {
    let cluster = TestCluster::start();
    let mut read = cluster.start_read("a1");
    let mut idle_client = cluster.gateway.connect_idle_client();
    read.complete("one");

    idle_client.expect_closed();
    idle_client.send_after_close(encode_read_request("a2"));

    let mut next_client = cluster.gateway.connect_and_send(encode_read_request("a3"));
    serve_request(&mut read.node, &mut next_client, "a3", "three");
}

/// A client sends the first half of a request just before its connection has been idle for too
/// long, and the second half after that. Guards against ending the connection in between: from its
/// first byte on, a command has a time limit of its own.
#[test]
fn request_that_begins_near_the_end_of_the_idle_time_is_served() {
    let cluster = TestCluster::start();
    let mut client = cluster.gateway.connect_idle_client();
    let idle_since = Instant::now();
    let request = SplitRequest::new(&encode_read_request("a1"));

    wait_until(idle_since + IDLE_TIMEOUT - Duration::from_millis(300));
    client.send(request.first_half);
    wait_until(idle_since + IDLE_TIMEOUT + Duration::from_millis(500));
    client.send(request.second_half);

    let mut node = cluster.node_a.accept();
    serve_request(&mut node, &mut client, "a1", "one");
}

/// All client descriptors are in use. The request of the oldest idle client is ready in the same
/// turn of the event loop in which the gateway must evict an idle client for a new one.
#[test]
fn client_with_a_received_request_is_not_evicted() {
    let cluster = TestCluster::start_with(with_64_descriptors);
    let mut oldest_client = cluster.gateway.connect_idle_client();
    // Together with the oldest client, these use all 24 client descriptors.
    let _other_clients: Vec<Connection> = (0..23)
        .map(|_| cluster.gateway.connect_idle_client())
        .collect();

    cluster.gateway.pause();
    let mut new_client = cluster.gateway.connect();
    oldest_client.send(encode_read_request("a1"));
    new_client.send_ping();
    cluster.gateway.resume();

    let mut node = cluster.node_a.accept();
    serve_request(&mut node, &mut oldest_client, "a1", "one");
    new_client.expect_pong();
}

/// Some clients send one request and keep their connection open. The gateway allows such
/// connections a quarter of all descriptors (here 16 of the 24 that clients may use), so that some
/// remain for new connections. Above the quarter, it must close a connection as soon as it is
/// idle: here directly after its response, while the other clients still wait for theirs.
#[test]
fn excess_connection_is_closed_when_it_becomes_idle() {
    let mut cluster =
        TestCluster::start_with(|config| with_debug_log(&with_64_descriptors(config)));
    let mut clients: Vec<Connection> = (0..17)
        .map(|number| {
            let client = cluster
                .gateway
                .connect_and_send(encode_read_request(&format!("a{number}")));
            cluster.gateway.wait_until_input_is_processed();
            client
        })
        .collect();
    let mut node = cluster.node_a.accept();

    serve_request(&mut node, &mut clients[0], "a0", "v0");
    cluster
        .gateway
        .wait_for_log(log_lines::EXCESS_CONNECTION_CLOSED);
    clients[0].expect_closed();

    // With one connection less, the clients hold no more than a quarter of the descriptors: the
    // next connection that becomes idle stays open.
    node.expect_request("a1");
    node.respond("v1");
    clients[1].send_ping();
    clients[1].expect_value("v1");
    clients[1].expect_pong();
}

/// While discovery is down, idle clients take all descriptors that clients may use. The gateway
/// must still have a descriptor for the watch when discovery is up again.
#[test]
fn watch_is_reopened_while_idle_clients_hold_all_client_descriptors() {
    let (cluster, _idle_clients) =
        TestCluster::start_while_discovery_is_down(with_64_descriptors, |gateway| {
            let idle_clients: Vec<Connection> = (0..80).map(|_| gateway.connect()).collect();
            gateway.wait_until_input_is_processed();
            idle_clients
        });
    cluster.expect_new_read_and_write_go_to_node_a();
}

/// Returns 400 requests that the gateway answers with an error.
fn encode_invalid_requests() -> String {
    (0..400)
        .map(|number| encode_read_request_of_unknown_class(&format!("b{number}")))
        .collect()
}

/// How many reads [`encode_pipelined_reads`] returns: fewer than may wait for a reply, so that a
/// client that has sent them at once is not idle, and not evicted, before all are answered.
const PIPELINED_READS: usize = 30;

/// Returns reads for one client to send at once.
fn encode_pipelined_reads() -> String {
    (0..PIPELINED_READS)
        .map(|number| encode_read_request(&format!("a{number}")))
        .collect()
}

/// Clients whose commands are invalid send without a pause while more silent clients connect than
/// there are descriptors. Guards against an event loop that repeats the eviction of a connection
/// that is not closed, because it has new input each time, and handles nothing else.
#[test]
fn clients_that_send_without_a_pause_do_not_keep_the_event_loop_evicting() {
    let cluster = TestCluster::start_with(with_64_descriptors);
    cluster.node_a.respond_in_background("value");
    for _ in 0..3 {
        let sender = cluster.gateway.connect();
        sender.send_repeatedly_in_background(encode_invalid_requests());
    }
    let mut client = cluster.gateway.connect_idle_client();

    cluster.gateway.pause();
    client.send(encode_pipelined_reads());
    let _silent: Vec<Connection> = (0..64).map(|_| cluster.gateway.connect()).collect();
    cluster.gateway.resume();

    for _ in 0..PIPELINED_READS {
        client.expect_value("value");
    }
}
