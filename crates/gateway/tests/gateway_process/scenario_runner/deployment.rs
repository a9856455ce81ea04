//! Scenario statements that declare nodes, start the gateway and change its configuration, its
//! inventory or its discovery service.

use super::error::ScenarioError;
use super::launch::{
    inventory, operator_config, GatewayConfig, InventoryEntry, CONFIG_FILE, INVENTORY_FILE,
};
use super::message::Protocol;
use super::peer::Peer;
use super::scenario::{DeclaredNode, Scenario, CONSOLE, DISCOVERY, OLD_DISCOVERY};
use crate::harness::config::{platform_config, replace_setting};
use crate::harness::discovery::{encode_endpoint_entry, EndpointEntry};
use std::time::SystemTime;

impl Scenario {
    /// Declares a fake node and starts its listener.
    pub fn declare_node(&mut self, name: &str, arguments: &[&str]) -> Result<(), ScenarioError> {
        let protocol = if arguments.get(1) == Some(&"sftp") {
            Protocol::Sftp
        } else {
            Protocol::Resp
        };
        let shard = arguments.first().and_then(|shard| shard.parse().ok());
        let shard = shard.ok_or(ScenarioError::MissingShard)?;
        self.peers.insert(name.to_owned(), Peer::listen(protocol));
        self.nodes.push(DeclaredNode {
            name: name.to_owned(),
            shard,
        });
        Ok(())
    }

    /// Starts the gateway with a configuration of this kind: `platform` or `operator`.
    pub fn start_gateway(&mut self, kind: &str, max_descriptors: Option<&str>) {
        let config = if kind == "operator" {
            self.operator_gateway_config()
        } else {
            self.platform_gateway_config()
        };
        let mut gateway = config.start(&self.directory, max_descriptors);
        let console = Peer::console(gateway.process.take_stdout());
        self.peers.insert(CONSOLE.to_owned(), console);
        self.gateway = Some(gateway);
    }

    /// An operator's configuration. Writes an inventory of all nodes.
    fn operator_gateway_config(&self) -> GatewayConfig {
        self.write_inventory();
        GatewayConfig::Operator {
            config: operator_config(self.nodes.len()),
        }
    }

    /// A platform configuration, with all nodes in its cached endpoint list.
    fn platform_gateway_config(&self) -> GatewayConfig {
        let discovery = self.peers[DISCOVERY].address();
        GatewayConfig::Platform {
            config: platform_config(discovery, &self.all_nodes_in_service()),
            discovery,
        }
    }

    /// Endpoint list entries with all nodes in service.
    pub fn all_nodes_in_service(&self) -> Vec<String> {
        self.nodes
            .iter()
            .map(|node| self.endpoint_entry(&node.name, &node.name, "in_service"))
            .collect()
    }

    /// The endpoint list entry of a node, with the address of `listening_peer`.
    pub fn endpoint_entry(&self, name: &str, listening_peer: &str, status: &str) -> String {
        let node = self
            .nodes
            .iter()
            .find(|node| node.name == name)
            .expect("the node should be declared");
        let address = self.peers[listening_peer].address();
        encode_endpoint_entry(&EndpointEntry {
            name,
            address,
            shard: node.shard,
            status,
        })
    }

    /// Writes the inventory again with the current time as the start time of this node.
    pub fn mark_node_restarted(&mut self, name: &str) {
        self.restarted_node = Some(name.to_owned());
        self.write_inventory();
        self.record(&format!("inventory: {name} has just started"));
    }

    /// Writes the inventory file with all nodes.
    fn write_inventory(&self) {
        let entries: Vec<InventoryEntry> = self
            .nodes
            .iter()
            .map(|node| self.inventory_entry(node))
            .collect();
        self.directory.write(INVENTORY_FILE, &inventory(&entries));
    }

    /// The inventory entry of a node.
    fn inventory_entry<'a>(&self, node: &'a DeclaredNode) -> InventoryEntry<'a> {
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

    /// Starts a new discovery service on another address and writes that address to the
    /// configuration file. The old service becomes the peer [`OLD_DISCOVERY`].
    pub fn move_discovery(&mut self) {
        let former = self
            .peers
            .remove(DISCOVERY)
            .expect("discovery should be a peer");
        let new = Peer::listen(Protocol::Http);
        let config = self.directory.read(CONFIG_FILE);
        let config = replace_setting(
            &config,
            &former.address().to_string(),
            &new.address().to_string(),
        );
        self.directory.write(CONFIG_FILE, &config);
        self.peers.insert(DISCOVERY.to_owned(), new);
        self.peers.insert(OLD_DISCOVERY.to_owned(), former);
        self.record("discovery listens at a new address");
    }

    /// Overwrites the configuration file with incomplete JSON.
    pub fn write_invalid_config(&mut self) {
        self.directory.write(CONFIG_FILE, "{\"discovery\":");
        self.record("configuration file is invalid");
    }
}

/// The current Unix time in milliseconds.
fn now_ms() -> u128 {
    let since_epoch = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    since_epoch
        .expect("the clock should be after 1970")
        .as_millis()
}
