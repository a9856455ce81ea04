//! Starts the gateway of a scenario, on the platform's or on an operator's configuration.

use crate::harness::config::{replace_setting, SETTINGS};
use crate::harness::gateway_process::{GatewayProcess, GATEWAY_PROGRAM};
use crate::harness::test_directory::TestDirectory;
use std::fmt::Write as _;
use std::net::SocketAddr;
use std::process::{ChildStdin, Command, Stdio};

/// The configuration file in the scenario's directory.
pub const CONFIG_FILE: &str = "config.json";
/// An operator's inventory in the same directory.
pub const INVENTORY_FILE: &str = "nodes.csv";

/// A gateway with its console and its listeners.
pub struct RunningGateway {
    /// The process.
    pub process: GatewayProcess,
    /// The console's input.
    pub console_input: ChildStdin,
    /// Where it accepts RESP2 clients.
    pub resp_address: SocketAddr,
    /// Where it accepts SFTP clients, if it does.
    pub sftp_address: Option<SocketAddr>,
}

/// The configuration that a gateway starts with.
pub enum Launch {
    /// The configuration that `ROUTER_CONFIG` names, with the address of discovery in the
    /// environment too.
    Platform {
        /// The content of the configuration file.
        config: String,
        /// Where discovery listens.
        discovery: SocketAddr,
    },
    /// An operator's file, with an inventory beside it and a listener for SFTP.
    Operator {
        /// The content of the configuration file.
        config: String,
    },
}

impl Launch {
    /// Starts the gateway. With fewer file descriptors than its configuration says, accepting and
    /// connecting must fail at times.
    pub fn start(
        &self,
        directory: &TestDirectory,
        max_descriptors: Option<&str>,
    ) -> RunningGateway {
        let mut command = gateway_command(max_descriptors);
        self.configure(&mut command, directory);
        let mut process = GatewayProcess::spawn(&mut command);
        let resp_address = process.wait_for_resp_listener();
        let sftp_address = match self {
            Self::Platform { .. } => None,
            Self::Operator { .. } => Some(process.wait_for_sftp_listener()),
        };
        let console_input = process.take_stdin();
        RunningGateway {
            process,
            console_input,
            resp_address,
            sftp_address,
        }
    }

    /// Writes the configuration file and names it to the gateway.
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

/// The command that runs the gateway, with a console and at most so many file descriptors.
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

/// An operator's configuration for this number of shards.
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

/// A node of an inventory.
pub struct InventoryEntry<'a> {
    /// The node's name.
    pub name: &'a str,
    /// Where it listens.
    pub address: SocketAddr,
    /// The shard that it stores.
    pub shard: u64,
    /// `resp2` or `sftp`.
    pub protocol: &'a str,
    /// Since when it has been in service, in milliseconds since 1970; 0 for long since.
    pub since_ms: u128,
}

/// An inventory as CSV.
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
