//! The test environment of most tests: two fake storage nodes, a fake discovery service with an
//! open watch, and a gateway.

use super::connection::Connection;
use super::discovery::{encode_delta_chunk, FakeDiscovery};
use super::gateway::Gateway;
use super::log_lines;
use super::node::FakeStorageNode;
use super::requests::{encode_read_request, encode_write_request};

/// Two fake nodes, a fake discovery service and a gateway that has received their endpoint list.
pub struct TestCluster {
    /// The node that stores shard 0.
    pub node_a: FakeStorageNode,
    /// The node that stores shard 1.
    pub node_b: FakeStorageNode,
    /// The discovery service that the gateway was configured with at its start.
    pub discovery: FakeDiscovery,
    /// The watch that is open now. The snapshot at the start of the first watch has index 2, so
    /// the first delta has index 3.
    pub watch: Connection,
    /// The gateway under test.
    pub gateway: Gateway,
}

/// A read that the gateway has forwarded to node A.
///
/// The initial concurrency limit of a node is one request: until node A has responded to this read,
/// further requests for it wait at the gateway.
pub struct ForwardedRead {
    /// The client's connection to the gateway.
    pub client: Connection,
    /// The gateway's connection to node A on which the read was sent.
    pub node: Connection,
}

impl ForwardedRead {
    /// Responds as the node, and checks that the client receives the value.
    #[track_caller]
    pub fn complete(&mut self, value: &str) {
        self.node.respond(value);
        self.client.expect_value(value);
    }

    /// Responds as the node, and checks that the client receives the value and that the gateway
    /// then closes the client's connection.
    #[track_caller]
    pub fn complete_and_expect_client_close(&mut self, value: &str) {
        self.node.respond(value);
        self.client.expect_value_and_close(value);
    }
}

/// Checks that the node's next request is the one with this id, responds to it, and checks that the
/// client receives the value.
#[track_caller]
pub fn serve_request(node: &mut Connection, client: &mut Connection, id: &str, value: &str) {
    node.expect_request(id);
    node.respond(value);
    client.expect_value(value);
}

impl TestCluster {
    /// Starts a cluster with the default configuration.
    pub fn start() -> Self {
        Self::start_with(str::to_owned)
    }

    /// Starts a cluster whose gateway configuration is changed by `edit_config`.
    pub fn start_with(edit_config: impl Fn(&str) -> String) -> Self {
        let node_a = FakeStorageNode::new("a", 0);
        let node_b = FakeStorageNode::new("b", 1);
        let discovery = FakeDiscovery::new();
        let gateway = Gateway::start(&[&node_a, &node_b], &discovery, edit_config);
        let list = [node_a.in_service_entry(), node_b.in_service_entry()];
        Self::with_initial_list(node_a, node_b, discovery, gateway, &list)
    }

    /// Accepts the first watch, sends the endpoint list on it and waits until the gateway has
    /// received it.
    fn with_initial_list(
        node_a: FakeStorageNode,
        node_b: FakeStorageNode,
        discovery: FakeDiscovery,
        gateway: Gateway,
        list: &[String; 2],
    ) -> Self {
        let mut cluster = Self {
            watch: discovery.accept_watch_and_send(2, list),
            node_a,
            node_b,
            discovery,
            gateway,
        };
        cluster.wait_for_update_of_two_endpoints();
        cluster
    }

    /// Starts the gateway with cached endpoints while discovery refuses connections, and calls
    /// `while_down`. Discovery then listens again and sends a list in which node B is draining.
    pub fn start_while_discovery_is_down<T>(
        edit_config: impl Fn(&str) -> String,
        while_down: impl FnOnce(&Gateway) -> T,
    ) -> (Self, T) {
        let node_a = FakeStorageNode::new("a", 0);
        let node_b = FakeStorageNode::new("b", 1);
        let mut discovery = FakeDiscovery::new_stopped();
        let mut gateway = Gateway::start(&[&node_a, &node_b], &discovery, edit_config);
        gateway.wait_for_log(log_lines::CONNECTION_REFUSED);
        let result = while_down(&gateway);
        discovery.listen_again();
        let list = [node_a.in_service_entry(), node_b.draining_entry()];
        let cluster = Self::with_initial_list(node_a, node_b, discovery, gateway, &list);
        (cluster, result)
    }

    /// Endpoint list entries with both nodes in service.
    pub fn both_nodes_in_service(&self) -> [String; 2] {
        [
            self.node_a.in_service_entry(),
            self.node_b.in_service_entry(),
        ]
    }

    /// Endpoint list entries with node A in service and node B draining.
    pub fn entries_with_node_b_draining(&self) -> [String; 2] {
        [self.node_a.in_service_entry(), self.node_b.draining_entry()]
    }

    /// Waits until the gateway has logged that it received two endpoints. It logs this only for the
    /// first update on each watch.
    #[track_caller]
    pub fn wait_for_update_of_two_endpoints(&mut self) {
        self.gateway.wait_for_log(log_lines::RECEIVED_TWO_ENDPOINTS);
    }

    /// Sends a read from a new client, and waits until the gateway has forwarded it to node A.
    #[track_caller]
    pub fn start_read(&self, id: &str) -> ForwardedRead {
        let client = self.gateway.connect_and_send(encode_read_request(id));
        let node = self.node_a.accept_request(id);
        ForwardedRead { client, node }
    }

    /// Sends a delta on the open watch and waits until the gateway has processed it.
    pub fn send_delta(&mut self, index: u64, entries: &[String]) {
        self.watch.send(encode_delta_chunk(index, entries));
        self.gateway.wait_until_input_is_processed();
    }

    /// Reports node B as draining and waits until the gateway has processed it.
    pub fn drain_node_b(&mut self) {
        self.send_delta(3, &[self.node_b.draining_entry()]);
    }

    /// Writes a new object while node A is still processing `read`, and checks that the write waits
    /// for node A. Any node may store a new object: if node B were not draining, the gateway would
    /// send the write to it, because it is idle. Completes both requests.
    #[track_caller]
    pub fn expect_write_goes_to_node_a(&self, read: ForwardedRead) {
        let ForwardedRead {
            client: mut reader,
            mut node,
        } = read;
        let mut writer = self
            .gateway
            .connect_and_send_while_paused(encode_write_request("w1"));
        self.gateway.wait_until_input_is_processed();
        node.respond("read");
        reader.expect_value("read");
        serve_request(&mut node, &mut writer, "w1", "written");
        self.node_b.expect_no_further_connection();
    }

    /// Sends a read, which goes to node A, and checks that a new object is not written to node B,
    /// which is draining.
    #[track_caller]
    pub fn expect_new_read_and_write_go_to_node_a(&self) {
        let read = self.start_read("a1");
        self.expect_write_goes_to_node_a(read);
    }
}
