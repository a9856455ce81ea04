//! Races between the commands of clients that send invalid or unusual input and the requests of
//! other clients.

use crate::harness::cluster::{serve_request, TestCluster};
use crate::harness::config::with_32_mib_of_memory;
use crate::harness::connection::Connection;
use crate::harness::requests::{
    encode_brief_read_request, encode_read_request, encode_read_request_with_unknown_parameters,
};
use crate::harness::resp::encode_command;

/// As many parameters as fit into a command: their list has about 62,000 bytes.
const LONG_LIST: usize = 9_100;

/// Several clients send parameter lists of 62,000 bytes together with the request of another
/// client. Guards against parsing whose time grows with the square of the number of parameters,
/// which holds up the event loop for longer than the other client waits.
#[test]
fn long_parameter_lists_do_not_hold_up_the_request_of_another_client() {
    let cluster = TestCluster::start();
    let list = encode_read_request_with_unknown_parameters("b1", LONG_LIST);

    cluster.gateway.pause();
    let mut bad_clients: Vec<Connection> = (0..16)
        .map(|_| cluster.gateway.connect_and_send(&list))
        .collect();
    let mut client = cluster.gateway.connect_and_send(encode_read_request("a1"));
    cluster.gateway.resume();

    let mut node = cluster.node_a.accept();
    serve_request(&mut node, &mut client, "a1", "one");
    for bad_client in &mut bad_clients {
        bad_client.expect_value("-ERR c names no class of the settings");
    }
}

/// A client names a new volume and a new shard in each of its reads. Guards against a gateway that
/// serves others ever more slowly, or stores all the names; the log tells of the first eviction.
#[test]
fn reads_of_ever_new_volumes_and_shards_evict_their_own_state() {
    const READS: u64 = 6_000;
    const BATCH: u64 = 20;
    const FIRST_NAME: u64 = 1_000;
    let mut cluster = TestCluster::start_with(with_32_mib_of_memory);
    let mut client = cluster.gateway.connect();
    for first in (0..READS).step_by(BATCH as usize) {
        let encode = |number: u64| {
            let name = FIRST_NAME + number;
            encode_brief_read_request(&format!("r{number}"), name, name)
        };
        client.send((first..first + BATCH).map(encode).collect::<String>());
        for _ in 0..BATCH {
            client.expect_busy();
        }
    }
    for name in ["shards", "volumes"] {
        cluster
            .gateway
            .wait_for_log(&format!("clients use too many different {name}"));
    }
    let mut other_client = cluster.gateway.connect_and_send(encode_read_request("a1"));
    let mut node = cluster.node_a.accept();
    serve_request(&mut node, &mut other_client, "a1", "one");
}

/// Many clients send `PING` without a pause. Guards against turns of the event loop that handle all
/// that has arrived, and take longer than another client waits.
#[test]
fn clients_that_send_without_a_pause_leave_time_to_others() {
    let cluster = TestCluster::start();
    cluster.node_a.respond_in_background("value");
    let pings = encode_command("PING").repeat(4_000);
    for _ in 0..60 {
        let sender = cluster.gateway.connect();
        sender.send_repeatedly_in_background(pings.clone());
    }
    let mut client = cluster.gateway.connect();
    for number in 0..5 {
        client.send(encode_read_request(&format!("a{number}")));
        client.expect_value("value");
    }
}
