//! What a gateway is deployed with: its configuration, its nodes and discovery.

use super::error::ScenarioError;
use super::launch::{
    inventory, operator_config, InventoryEntry, Launch, CONFIG_FILE, INVENTORY_FILE,
};
use super::message::Protocol;
use super::peer::Peer;
use super::scenario::{Node, Scenario, CONSOLE, DISCOVERY, FORMER_DISCOVERY};
use crate::harness::config::{platform_config, replace_setting};
use crate::harness::discovery::{endpoint_entry, EndpointEntry};
use std::time::SystemTime;

impl Scenario {
    /// Declares a node, which listens from now on.
    pub fn declare_node(&mut self, name: &str, arguments: &[&str]) -> Result<(), ScenarioError> {
        let protocol = if arguments.get(1) == Some(&"sftp") {
            Protocol::Sftp
        } else {
            Protocol::Resp
        };
        let shard = arguments.first().and_then(|shard| shard.parse().ok());
        let shard = shard.ok_or(ScenarioError::MissingShard)?;
        self.peers.insert(name.to_owned(), Peer::listen(protocol));
        self.nodes.push(Node {
            name: name.to_owned(),
            shard,
        });
        Ok(())
    }

    /// Starts the gateway on a configuration of this kind, `platform` or `operator`.
    pub fn start_gateway(&mut self, kind: &str, max_descriptors: Option<&str>) {
        let launch = if kind == "operator" {
            self.operator_launch()
        } else {
            self.platform_launch()
        };
        let mut gateway = launch.start(&self.directory, max_descriptors);
        let console = Peer::console(gateway.process.take_stdout());
        self.peers.insert(CONSOLE.to_owned(), console);
        self.gateway = Some(gateway);
    }

    /// The launch on an operator's file, with an inventory of all nodes.
    fn operator_launch(&self) -> Launch {
        self.write_inventory();
        Launch::Operator {
            config: operator_config(self.nodes.len()),
        }
    }

    /// The launch on the platform's configuration, with a cached list of all nodes.
    fn platform_launch(&self) -> Launch {
        let discovery = self.peers[DISCOVERY].address();
        Launch::Platform {
            config: platform_config(discovery, &self.in_service_entries()),
            discovery,
        }
    }

    /// The entries of all nodes in an endpoint list where all are in service.
    pub fn in_service_entries(&self) -> Vec<String> {
        self.nodes
            .iter()
            .map(|node| self.endpoint_entry(&node.name, &node.name, "in_service"))
            .collect()
    }

    /// The entry of a node at the address where a peer listens.
    pub fn endpoint_entry(&self, name: &str, listening_peer: &str, status: &str) -> String {
        let node = self
            .nodes
            .iter()
            .find(|node| node.name == name)
            .expect("a declared node");
        let address = self.peers[listening_peer].address();
        endpoint_entry(&EndpointEntry {
            name,
            address,
            shard: node.shard,
            status,
        })
    }

    /// Writes the inventory again, with a node that has just started.
    pub fn restart_node(&mut self, name: &str) {
        self.restarted_node = Some(name.to_owned());
        self.write_inventory();
        self.record(&format!("{name} has just started"));
    }

    /// Writes the inventory of all nodes.
    fn write_inventory(&self) {
        let entries: Vec<InventoryEntry> = self
            .nodes
            .iter()
            .map(|node| self.inventory_entry(node))
            .collect();
        self.directory.write(INVENTORY_FILE, &inventory(&entries));
    }

    /// A node's entry in the inventory.
    fn inventory_entry<'a>(&self, node: &'a Node) -> InventoryEntry<'a> {
        let peer = &self.peers[&node.name];
        let just_started = self.restarted_node.as_ref() == Some(&node.name);
        InventoryEntry {
            name: &node.name,
            address: peer.address(),
            shard: node.shard,
            protocol: if peer.protocol == Protocol::Sftp {
                "sftp"
            } else {
                "resp2"
            },
            since_ms: if just_started { now_ms() } else { 0 },
        }
    }

    /// Lets discovery listen at a new address, which the configuration names from now on.
    pub fn move_discovery(&mut self) {
        let former = self
            .peers
            .remove(DISCOVERY)
            .expect("there is one discovery");
        let new = Peer::listen(Protocol::Http);
        let config = self.directory.read(CONFIG_FILE);
        let config = replace_setting(
            &config,
            &former.address().to_string(),
            &new.address().to_string(),
        );
        self.directory.write(CONFIG_FILE, &config);
        self.peers.insert(DISCOVERY.to_owned(), new);
        self.peers.insert(FORMER_DISCOVERY.to_owned(), former);
        self.record("discovery moves");
    }

    /// Makes the configuration file unreadable for the gateway.
    pub fn invalidate_config(&mut self) {
        self.directory.write(CONFIG_FILE, "{\"discovery\":");
        self.record("the configuration is invalid");
    }
}

/// The time since 1970 in milliseconds.
fn now_ms() -> u128 {
    let since_epoch = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    since_epoch.expect("the clock is after 1970").as_millis()
}
