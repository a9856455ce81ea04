//! Races between the commands of clients that send invalid or unusual input and the requests of
//! other clients.

use crate::harness::cluster::{serve_request, TestCluster};
use crate::harness::connection::Connection;
use crate::harness::requests::{encode_read_request, encode_read_request_with_unknown_parameters};

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
