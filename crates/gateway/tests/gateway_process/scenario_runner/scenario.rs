//! The state of a running scenario: its parties, the gateway and the transcript.

use super::launch::RunningGateway;
use super::message::Protocol;
use super::party::Party;
use crate::harness::test_directory::TestDirectory;
use std::collections::BTreeMap;

/// The name of the party that stands for discovery.
pub const DISCOVERY: &str = "discovery";
/// The name of the party at discovery's former address.
pub const FORMER_DISCOVERY: &str = "old";
/// The name of the party that uses the gateway's console.
pub const CONSOLE: &str = "console";
/// The name of the gateway itself, which is sent signals.
pub const GATEWAY: &str = "gateway";
/// The index of the endpoint list that the gateway has cached at its start.
const CACHED_LIST_INDEX: u64 = 1;

/// A stand-in node; the party of its name listens for it.
pub struct Node {
    /// The node's name.
    pub name: String,
    /// The shard that it stores.
    pub shard: u64,
}

/// A running scenario.
pub struct Scenario {
    /// Everyone who exchanges messages with the gateway, by name.
    pub parties: BTreeMap<String, Party>,
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
        let discovery = Party::listen(Protocol::Http);
        Self {
            parties: BTreeMap::from([(DISCOVERY.to_owned(), discovery)]),
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

    /// The party of this name; a new one is a client, which connects.
    pub fn party(&mut self, name: &str) -> &mut Party {
        if !self.parties.contains_key(name) {
            let client = self.connect_client(name);
            self.parties.insert(name.to_owned(), client);
        }
        self.parties
            .get_mut(name)
            .expect("it has just been inserted")
    }

    /// Connects a client, whose name says what it speaks.
    fn connect_client(&mut self, name: &str) -> Party {
        let gateway = self.gateway();
        if name.starts_with('s') {
            let address = gateway
                .sftp_address
                .expect("the gateway accepts SFTP clients");
            return Party::connect(Protocol::Sftp, address);
        }
        Party::connect(Protocol::Resp, gateway.resp_address)
    }
}
