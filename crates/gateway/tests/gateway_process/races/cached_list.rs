//! Races between the first requests after a start, when the gateway has only the cached endpoint
//! list of its configuration, and the first answer of discovery.

use crate::harness::config::with_100_gateways;
use crate::harness::discovery::FakeDiscovery;
use crate::harness::gateway::Gateway;
use crate::harness::node::FakeStorageNode;
use crate::harness::requests::encode_read_request;

/// The cached list may be older than the longest delay of a notification, so the gateway must not
/// use it while discovery can be asked.
#[test]
fn request_is_not_sent_to_a_node_that_drained_while_the_gateway_was_down() {
    let drained = FakeStorageNode::new("a", 0);
    let successor = FakeStorageNode::new("b", 0);
    let discovery = FakeDiscovery::new();
    let gateway = Gateway::start(&[&drained], &discovery, with_100_gateways);

    let mut client = gateway.connect_and_send(encode_read_request("a1"));
    let entries = [drained.draining_entry(), successor.in_service_entry()];
    let _watch = discovery.accept_watch_and_send(2, &entries);

    drained.expect_no_further_connection();
    let mut node = successor.accept_request("a1");
    node.respond("one");
    client.expect_value("one");
    drained.expect_no_further_connection();
}
