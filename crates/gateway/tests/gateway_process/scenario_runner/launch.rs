//! Starts the gateway of a scenario with a platform configuration or an operator's configuration.

use crate::harness::config::{replace_setting, SETTINGS};
use crate::harness::gateway_process::{GatewayProcess, GATEWAY_PROGRAM};
use crate::harness::test_directory::TestDirectory;
use std::fmt::Write as _;
use std::net::SocketAddr;
use std::process::{ChildStdin, Command, Stdio};

/// The name of the configuration file in the directory of the scenario.
pub const CONFIG_FILE: &str = "config.json";
/// The name of the operator's inventory in the same directory.
pub const INVENTORY_FILE: &str = "nodes.csv";

/// A running gateway, with its console input and the addresses of its listeners.
pub struct StartedGateway {
    /// The gateway process.
    pub process: GatewayProcess,
    /// The input of the gateway's console.
    pub console_input: ChildStdin,
    /// The address on which it accepts RESP2 clients.
    pub resp_address: SocketAddr,
    /// The address on which it accepts SFTP clients; `None` for a platform configuration.
    pub sftp_address: Option<SocketAddr>,
}

/// The configuration with which a gateway is started.
pub enum GatewayConfig {
    /// The platform passes the path of the file in `ROUTER_CONFIG` and the address of discovery in
    /// `ROUTER_DISCOVERY`.
    Platform {
        /// The content of the configuration file.
        config: String,
        /// The address of the discovery service.
        discovery: SocketAddr,
    },
    /// An operator passes the path of the file in `--config`. The file names an inventory and an
    /// SFTP listener.
    Operator {
        /// The content of the configuration file.
        config: String,
    },
}

impl GatewayConfig {
    /// Starts the gateway and waits until it listens. If `max_descriptors` is below the limit in
    /// the configuration, the gateway sometimes fails to accept or open a connection.
    pub fn start(
        &self,
        directory: &TestDirectory,
        max_descriptors: Option<&str>,
    ) -> StartedGateway {
        let mut command = gateway_command(max_descriptors);
        self.configure(&mut command, directory);
        let mut process = GatewayProcess::spawn(&mut command);
        let resp_address = process.wait_for_resp_listener();
        let sftp_address = match self {
            Self::Platform { .. } => None,
            Self::Operator { .. } => Some(process.wait_for_sftp_listener()),
        };
        let console_input = process.take_stdin();
        StartedGateway {
            process,
            console_input,
            resp_address,
            sftp_address,
        }
    }

    /// Writes the configuration file and passes its path to the gateway.
    fn configure(&self, command: &mut Command, directory: &TestDirectory) {
        match self {
            Self::Platform { config, discovery } => {
                let path = directory.write(CONFIG_FILE, config);
                command
                    .env("ROUTER_CONFIG", path)
                    .env("ROUTER_DISCOVERY", discovery.to_string());
            }
            Self::Operator { config } => {
                let path = directory.write(CONFIG_FILE, config);
                command.arg("--config").arg(path);
            }
        }
    }
}

/// The command that runs the gateway with a piped console and with at most `max_descriptors` file
/// descriptors.
fn gateway_command(max_descriptors: Option<&str>) -> Command {
    let limit = max_descriptors.map_or_else(String::new, |count| format!("ulimit -n {count}; "));
    let mut command = Command::new("/bin/sh");
    command
        .arg("-c")
        .arg(limit + "exec \"$0\" \"$@\"")
        .arg(GATEWAY_PROGRAM)
        .stdin(Stdio::piped())
        .stdout(Stdio::piped());
    command
}

/// An operator's configuration file for this number of shards.
pub fn operator_config(shard_count: usize) -> String {
    let volumes = r#"[{"name":"notes","id":"00000000000000a1","plan":"gold"}]"#;
    let sftp = format!(
        r#"{{
            "listen":"127.0.0.1:0",
            "unit_bytes":4,
            "max_upload_bytes":64,
            "read_class":"read",
            "write_class":"write",
            "volumes":{volumes}
        }}"#
    );
    let settings = replace_setting(
        SETTINGS,
        "\"n_shards\": 1",
        &format!("\"n_shards\": {shard_count}"),
    );
    let settings = replace_setting(&settings, "subscribe", "automatic");
    format!(
        r#"{{
            "listen":"127.0.0.1:0",
            "inventory":"{INVENTORY_FILE}",
            "limits":{{"sockets":256}},
            "sftp":{sftp},
            "settings":{settings}
        }}"#
    )
}

/// A row of an inventory.
pub struct InventoryEntry<'a> {
    /// The node's name.
    pub name: &'a str,
    /// The address on which the node listens.
    pub address: SocketAddr,
    /// The shard that the node stores.
    pub shard: u64,
    /// `resp2` or `sftp`.
    pub protocol: &'a str,
    /// The Unix time in milliseconds since which the node has been in service. The gateway applies
    /// slow start to a node that has just started; 0 prevents that.
    pub since_ms: u128,
}

/// Encodes an inventory as CSV.
pub fn inventory(entries: &[InventoryEntry<'_>]) -> String {
    let mut csv = "name,address,zone,shard,protocol,since_ms\n".to_owned();
    for InventoryEntry {
        name,
        address,
        shard,
        protocol,
        since_ms,
    } in entries
    {
        let _ = writeln!(csv, "{name},{address},a,{shard},{protocol},{since_ms}");
    }
    csv
}
