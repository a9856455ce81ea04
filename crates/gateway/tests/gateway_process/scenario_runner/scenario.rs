//! The state of a running scenario: its peers, the gateway and the transcript.

use super::launch::RunningGateway;
use super::message::Protocol;
use super::peer::Peer;
use crate::harness::test_directory::TestDirectory;
use std::collections::BTreeMap;

/// The name of the peer that stands for discovery.
pub const DISCOVERY: &str = "discovery";
/// The name of the peer at discovery's former address.
pub const FORMER_DISCOVERY: &str = "old";
/// The name of the peer that uses the gateway's console.
pub const CONSOLE: &str = "console";
/// The name of the gateway itself, which is sent signals.
pub const GATEWAY: &str = "gateway";
/// The index of the endpoint list that the gateway has cached at its start.
const CACHED_LIST_INDEX: u64 = 1;

/// A stand-in node; the peer of its name listens for it.
pub struct Node {
    /// The node's name.
    pub name: String,
    /// The shard that it stores.
    pub shard: u64,
}

/// A running scenario.
pub struct Scenario {
    /// Everyone who exchanges messages with the gateway, by name.
    pub peers: BTreeMap<String, Peer>,
    /// The nodes that were declared.
    pub nodes: Vec<Node>,
    // Declared before the directory: the process ends before its files are removed.
    /// The gateway, once it has been started.
    pub gateway: Option<RunningGateway>,
    /// The directory of the gateway's files.
    pub directory: TestDirectory,
    /// The index of discovery's last message.
    pub list_index: u64,
    /// The node that the inventory says has just started.
    pub restarted_node: Option<String>,
    /// What has happened so far, a line for each message.
    pub transcript: String,
}

impl Scenario {
    /// A scenario in which only discovery exists.
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

    /// The gateway, which must have been started.
    pub fn gateway(&mut self) -> &mut RunningGateway {
        self.gateway.as_mut().expect("the gateway has been started")
    }

    /// The peer of this name; a new one is a client, which connects.
    pub fn peer(&mut self, name: &str) -> &mut Peer {
        if !self.peers.contains_key(name) {
            let client = self.connect_client(name);
            self.peers.insert(name.to_owned(), client);
        }
        self.peers.get_mut(name).expect("it has just been inserted")
    }

    /// Connects a client, whose name says what it speaks.
    fn connect_client(&mut self, name: &str) -> Peer {
        let gateway = self.gateway();
        if name.starts_with('s') {
            let address = gateway
                .sftp_address
                .expect("the gateway accepts SFTP clients");
            return Peer::connect(Protocol::Sftp, address);
        }
        Peer::connect(Protocol::Resp, gateway.resp_address)
    }
}
