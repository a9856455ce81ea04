//! The state of a running scenario: the gateway, its peers and the transcript.

use super::launch::StartedGateway;
use super::message::Protocol;
use super::peer::Peer;
use crate::harness::test_directory::TestDirectory;
use std::collections::BTreeMap;

/// The name of the fake discovery service.
pub const DISCOVERY: &str = "discovery";
/// The name of the discovery service at the address before the last `move_discovery`.
pub const OLD_DISCOVERY: &str = "old_discovery";
/// The name of the peer that writes to and reads from the gateway's console.
pub const CONSOLE: &str = "console";
/// The name of the gateway process, which receives signals.
pub const GATEWAY: &str = "gateway";
/// The index of the cached endpoint list with which the gateway starts.
const CACHED_LIST_INDEX: u64 = 1;

/// A declared fake node. The peer of the same name holds its connections.
pub struct DeclaredNode {
    /// The node's name.
    pub name: String,
    /// The shard that the node stores.
    pub shard: u64,
}

/// A running scenario.
pub struct Scenario {
    /// The peers by name.
    pub peers: BTreeMap<String, Peer>,
    /// The declared nodes, in the order of declaration.
    pub nodes: Vec<DeclaredNode>,
    // Declared before `directory`, so that the process is killed before its files are removed.
    /// The gateway; `None` until the `start` statement.
    pub gateway: Option<StartedGateway>,
    /// The directory for the gateway's files.
    pub directory: TestDirectory,
    /// The index of the last update that discovery has sent.
    pub list_index: u64,
    /// The node that has just started according to the inventory.
    pub restarted_node: Option<String>,
    /// One line for each message and other event so far.
    pub transcript: String,
}

impl Scenario {
    /// Creates a scenario with a discovery service, without nodes and gateway.
    pub fn new() -> Self {
        let discovery = Peer::listen(Protocol::Http);
        Self {
            peers: BTreeMap::from([(DISCOVERY.to_owned(), discovery)]),
            nodes: Vec::new(),
            gateway: None,
            directory: TestDirectory::new(),
            list_index: CACHED_LIST_INDEX,
            restarted_node: None,
            transcript: String::new(),
        }
    }

    /// Adds a line to the transcript.
    pub fn record(&mut self, line: &str) {
        self.transcript.push_str(line);
        self.transcript.push('\n');
    }

    /// The running gateway; panics before the `start` statement.
    pub fn gateway(&mut self) -> &mut StartedGateway {
        self.gateway
            .as_mut()
            .expect("the gateway should be started")
    }

    /// The peer of this name. If there is none, connects a client of this name.
    pub fn peer(&mut self, name: &str) -> &mut Peer {
        if !self.peers.contains_key(name) {
            let client = self.connect_client(name);
            self.peers.insert(name.to_owned(), client);
        }
        self.peers
            .get_mut(name)
            .expect("the peer should exist or have been inserted")
    }

    /// Connects a client: an SFTP client if its name begins with `s`, else a RESP2 client.
    fn connect_client(&mut self, name: &str) -> Peer {
        let gateway = self.gateway();
        if name.starts_with('s') {
            let address = gateway
                .sftp_address
                .expect("the gateway should accept SFTP clients");
            return Peer::connect(Protocol::Sftp, address);
        }
        Peer::connect(Protocol::Resp, gateway.resp_address)
    }
}
