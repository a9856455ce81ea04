//! The setting of most tests: two storage nodes, discovery with an open watch, and a gateway.

use super::connection::Connection;
use super::discovery::{delta_chunk, DiscoveryService};
use super::gateway::Gateway;
use super::log_lines;
use super::node::StorageNode;
use super::requests::{read_request, write_request};

/// Two nodes, of shards 0 and 1, and a gateway that has received the list of both.
pub struct TestCluster {
    /// The node of shard 0.
    pub node_a: StorageNode,
    /// The node of shard 1.
    pub node_b: StorageNode,
    /// The discovery service that the gateway was started with.
    pub discovery: DiscoveryService,
    /// The open watch; its last event had index 2.
    pub watch: Connection,
    /// The gateway under test.
    pub gateway: Gateway,
}

/// A read that the gateway has forwarded to node A.
///
/// A gateway sends one request at a time to a node of which it has measured nothing yet: a further
/// request for node A waits until this one is answered.
pub struct InFlightRead {
    /// The client's end of its connection.
    pub client: Connection,
    /// The node's end of the connection that carries the read.
    pub node: Connection,
}

impl InFlightRead {
    /// The node responds, and the client gets its value.
    #[track_caller]
    pub fn complete(&mut self, value: &str) {
        self.node.respond(value);
        self.client.expect_value(value);
    }

    /// The node responds, the client gets its value, and the gateway closes the client's
    /// connection.
    #[track_caller]
    pub fn complete_and_expect_close(&mut self, value: &str) {
        self.node.respond(value);
        self.client.expect_last_value(value);
    }
}

/// The node receives the client's request next, and responds; the client gets the value.
#[track_caller]
pub fn serve_request(node: &mut Connection, client: &mut Connection, id: &str, value: &str) {
    node.expect_request(id);
    node.respond(value);
    client.expect_value(value);
}

impl TestCluster {
    /// Starts the gateway on the default settings.
    pub fn start() -> Self {
        Self::start_with(str::to_owned)
    }

    /// Starts the gateway on settings that `edit_config` changes.
    pub fn start_with(edit_config: impl Fn(&str) -> String) -> Self {
        let node_a = StorageNode::new("a", 0);
        let node_b = StorageNode::new("b", 1);
        let discovery = DiscoveryService::new();
        let gateway = Gateway::start(&[&node_a, &node_b], &discovery, edit_config);
        let list = [node_a.in_service(), node_b.in_service()];
        Self::with_list(node_a, node_b, discovery, gateway, &list)
    }

    /// Sends the gateway its first list on a watch, and waits until it has received it.
    fn with_list(
        node_a: StorageNode,
        node_b: StorageNode,
        discovery: DiscoveryService,
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
        cluster.wait_for_list_of_both_nodes();
        cluster
    }

    /// Starts the gateway on cached endpoints while discovery refuses connections, lets
    /// `meanwhile` happen, and brings discovery back with a list in which node B drains.
    pub fn start_before_discovery<T>(
        edit_config: impl Fn(&str) -> String,
        meanwhile: impl FnOnce(&Gateway) -> T,
    ) -> (Self, T) {
        let node_a = StorageNode::new("a", 0);
        let node_b = StorageNode::new("b", 1);
        let mut discovery = DiscoveryService::new_stopped();
        let mut gateway = Gateway::start(&[&node_a, &node_b], &discovery, edit_config);
        gateway.wait_for_log(log_lines::CONNECTION_REFUSED);
        let result = meanwhile(&gateway);
        discovery.listen_again();
        let list = [node_a.in_service(), node_b.terminating()];
        let cluster = Self::with_list(node_a, node_b, discovery, gateway, &list);
        (cluster, result)
    }

    /// List entries of both nodes in service.
    pub fn both_in_service(&self) -> [String; 2] {
        [self.node_a.in_service(), self.node_b.in_service()]
    }

    /// List entries of node A in service and node B draining.
    pub fn node_b_draining(&self) -> [String; 2] {
        [self.node_a.in_service(), self.node_b.terminating()]
    }

    /// Waits until the gateway has received a list or a change of two endpoints.
    #[track_caller]
    pub fn wait_for_list_of_both_nodes(&mut self) {
        self.gateway.wait_for_log(log_lines::RECEIVED_TWO_ENDPOINTS);
    }

    /// A client sends a read, and the gateway forwards it to node A.
    #[track_caller]
    pub fn start_read(&self, id: &str) -> InFlightRead {
        let client = self.gateway.connect_and_send(read_request(id));
        let node = self.node_a.accept_request(id);
        InFlightRead { client, node }
    }

    /// Sends a change on the open watch and waits until the gateway has processed it.
    pub fn send_delta(&mut self, index: u64, entries: &[String]) {
        self.watch.send(delta_chunk(index, entries));
        self.gateway.wait_until_input_is_processed();
    }

    /// Discovery says that node B drains, and the gateway has processed it.
    pub fn drain_node_b(&mut self) {
        self.send_delta(3, &[self.node_b.terminating()]);
    }

    /// Writes a new object while node A is busy with the read. The gateway would choose the idle
    /// node B; if that one drains, the write waits for node A. Completes both requests.
    #[track_caller]
    pub fn expect_new_object_avoids_node_b(&self, read: InFlightRead) {
        let InFlightRead {
            client: mut reader,
            mut node,
        } = read;
        let mut writer = self.gateway.connect_and_send_at_once(write_request("w1"));
        self.gateway.wait_until_input_is_processed();
        node.respond("read");
        reader.expect_value("read");
        serve_request(&mut node, &mut writer, "w1", "written");
        self.node_b.expect_no_further_connection();
    }

    /// A new read is forwarded to node A, and the write of a new object avoids node B, which
    /// drains.
    #[track_caller]
    pub fn expect_node_b_drains(&self) {
        let read = self.start_read("a1");
        self.expect_new_object_avoids_node_b(read);
    }
}
