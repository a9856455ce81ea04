//! Runs a scenario line by line and keeps its transcript.

use super::error::ScenarioError;
use super::launch::{
    inventory, operator_config, InventoryEntry, Launch, RunningGateway, CONFIG_FILE, INVENTORY_FILE,
};
use super::message::Protocol;
use super::party::Party;
use super::sftp_message;
use crate::harness::config::{platform_config, replace_setting, TestDirectory};
use crate::harness::connection::ConnectionEnd;
use crate::harness::discovery::{
    encode_chunk, endpoint_entry, watch_event, EndpointEntry, UpdateKind, CHUNKED_RESPONSE_HEAD,
};
use crate::harness::resp::encode_array;
use rustix::process::Signal;
use std::collections::BTreeMap;
use std::io::Write;
use std::time::SystemTime;

const DISCOVERY: &str = "discovery";
const FORMER_DISCOVERY: &str = "old";
const CONSOLE: &str = "console";
const GATEWAY: &str = "gateway";

/// Runs a scenario and returns its transcript.
#[track_caller]
pub fn run_scenario(name: &str, scenario: &str) -> String {
    let mut runner = ScenarioRunner::new();
    for line in scenario
        .lines()
        .filter(|line| !line.is_empty() && !line.starts_with('#'))
    {
        if let Err(error) = runner.run_line(line) {
            panic!(
                "{name}: {line}: {error}\ntranscript so far:\n{}",
                runner.transcript
            );
        }
    }
    runner.transcript
}

/// A stand-in node; the party of its name listens for it.
struct Node {
    name: String,
    shard: u64,
}

struct ScenarioRunner {
    parties: BTreeMap<String, Party>,
    nodes: Vec<Node>,
    // Declared before the directory: the process ends before its files are removed.
    gateway: Option<RunningGateway>,
    directory: TestDirectory,
    /// The index of discovery's last message.
    list_index: u64,
    /// The node that the inventory says has just started.
    restarted_node: Option<String>,
    transcript: String,
}

impl ScenarioRunner {
    fn new() -> Self {
        let discovery = Party::listen(Protocol::Http);
        Self {
            parties: BTreeMap::from([(DISCOVERY.to_owned(), discovery)]),
            nodes: Vec::new(),
            gateway: None,
            directory: TestDirectory::new(),
            list_index: 1,
            restarted_node: None,
            transcript: String::new(),
        }
    }

    fn record(&mut self, line: &str) {
        self.transcript.push_str(line);
        self.transcript.push('\n');
    }

    fn run_line(&mut self, line: &str) -> Result<(), ScenarioError> {
        let words: Vec<&str> = line.split(' ').collect();
        let subject = words.get(1).copied().unwrap_or_default();
        let arguments = words.get(2..).unwrap_or_default();
        match words[0] {
            "node" => self.declare_node(subject, arguments)?,
            "start" => self.start_gateway(subject, arguments.first().copied()),
            "node_restarted" => self.restart_node(subject),
            "move_discovery" => self.move_discovery(),
            "invalidate_config" => self.invalidate_config(),
            "send" => self.send(subject, arguments),
            "open" => drop(self.party(subject)),
            "expect" => self.expect_message(subject, &arguments.join(" "))?,
            "close" => self.close_connections(subject),
            "wait" if subject == GATEWAY => self.wait_for_exit(),
            "wait" => self.wait_for_end(subject)?,
            other => return Err(ScenarioError::UnknownVerb(other.to_owned())),
        }
        Ok(())
    }

    fn declare_node(&mut self, name: &str, arguments: &[&str]) -> Result<(), ScenarioError> {
        let protocol = if arguments.get(1) == Some(&"sftp") {
            Protocol::Sftp
        } else {
            Protocol::Resp
        };
        let shard = arguments.first().and_then(|shard| shard.parse().ok());
        let shard = shard.ok_or(ScenarioError::MissingShard)?;
        self.parties
            .insert(name.to_owned(), Party::listen(protocol));
        self.nodes.push(Node {
            name: name.to_owned(),
            shard,
        });
        Ok(())
    }

    fn start_gateway(&mut self, kind: &str, max_descriptors: Option<&str>) {
        let launch = if kind == "operator" {
            self.write_inventory();
            Launch::Operator {
                config: operator_config(self.nodes.len()),
            }
        } else {
            let discovery = self.parties[DISCOVERY].address();
            let cached_entries: Vec<String> = self
                .nodes
                .iter()
                .map(|node| self.endpoint_entry(&node.name, &node.name, "in_service"))
                .collect();
            Launch::Platform {
                config: platform_config(discovery, &cached_entries),
                discovery,
            }
        };
        let mut gateway = launch.start(&self.directory, max_descriptors);
        let console = Party::console(gateway.process.take_stdout());
        self.parties.insert(CONSOLE.to_owned(), console);
        self.gateway = Some(gateway);
    }

    fn gateway(&mut self) -> &mut RunningGateway {
        self.gateway.as_mut().expect("the gateway has been started")
    }

    /// The party of this name; a new one is a client, which connects.
    fn party(&mut self, name: &str) -> &mut Party {
        if !self.parties.contains_key(name) {
            let client = self.connect_client(name);
            self.parties.insert(name.to_owned(), client);
        }
        self.parties
            .get_mut(name)
            .expect("it has just been inserted")
    }

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

    fn expect_message(&mut self, name: &str, expected: &str) -> Result<(), ScenarioError> {
        let message = self.party(name).receive()?;
        if !expected.is_empty() && message != expected {
            return Err(ScenarioError::UnexpectedMessage(message));
        }
        self.record(&format!("{name} < {message}"));
        Ok(())
    }

    fn wait_for_end(&mut self, name: &str) -> Result<(), ScenarioError> {
        let end = match self.party(name).wait_for_end()? {
            ConnectionEnd::Closed => "closed",
            ConnectionEnd::Reset => "reset",
        };
        self.record(&format!("{name} is {end}"));
        Ok(())
    }

    fn wait_for_exit(&mut self) {
        let status = self.gateway().process.wait_for_exit();
        self.record(&format!("gateway ended, {status}"));
    }

    fn close_connections(&mut self, name: &str) {
        self.party(name).close_connections();
        self.record(&format!("{name} closes"));
    }

    fn send(&mut self, name: &str, words: &[&str]) {
        self.record(&format!("{name} > {}", words.join(" ")));
        match name {
            GATEWAY => self.send_signal(words[0]),
            CONSOLE => self.send_console_line(words),
            DISCOVERY => self.send_watch_event(words),
            _ if self.nodes.iter().any(|node| node.name == name) => self.send_as_node(name, words),
            _ => self.send_as_client(name, words),
        }
    }

    fn send_signal(&mut self, name: &str) {
        let signal = match name {
            "HUP" => Signal::HUP,
            "TERM" => Signal::TERM,
            other => panic!("no signal is called {other}"),
        };
        self.gateway().process.send_signal(signal);
    }

    fn send_console_line(&mut self, words: &[&str]) {
        let input = &mut self.gateway().console_input;
        writeln!(input, "{}", words.join(" ")).expect("the gateway reads its console");
    }

    fn send_as_client(&mut self, name: &str, words: &[&str]) {
        let party = self.party(name);
        let address = party.next_request();
        let bytes = match (party.protocol, words) {
            (Protocol::Sftp, _) => sftp_message::encode(words, address.request_id),
            (_, ["raw", line @ ..]) => encode_line(line),
            _ => encode_array(words).into_bytes(),
        };
        party.send(address.connection, &bytes);
    }

    fn send_as_node(&mut self, name: &str, words: &[&str]) {
        let party = self.party(name);
        let address = match words[0] {
            "more" => party.last_connection(),
            _ => party.take_pending_request(),
        };
        let bytes = match party.protocol {
            Protocol::Sftp => sftp_message::encode(words, address.request_id),
            _ => encode_node_response(words),
        };
        party.send(address.connection, &bytes);
    }

    /// Discovery sends `list`, or a change: `STATUS NODE`, or `STATUS NODE OTHER` for a node that now listens
    /// where another does.
    fn send_watch_event(&mut self, words: &[&str]) {
        self.list_index += 1;
        let bytes = match words {
            ["list"] => {
                let entries: Vec<String> = self
                    .nodes
                    .iter()
                    .map(|node| self.endpoint_entry(&node.name, &node.name, "in_service"))
                    .collect();
                let list = watch_event(self.list_index, UpdateKind::Snapshot, &entries);
                CHUNKED_RESPONSE_HEAD.to_owned() + &encode_chunk(&list)
            }
            [status, node] => self.encode_delta(node, node, status),
            [status, node, other] => self.encode_delta(node, other, status),
            _ => panic!("discovery sends no such message"),
        };
        let discovery = self.party(DISCOVERY);
        discovery.send(discovery.last_connection().connection, bytes.as_bytes());
    }

    fn encode_delta(&self, node: &str, listening_party: &str, status: &str) -> String {
        let entry = self.endpoint_entry(node, listening_party, status);
        encode_chunk(&watch_event(self.list_index, UpdateKind::Delta, &[entry]))
    }

    /// The entry of a node at the address where a party listens.
    fn endpoint_entry(&self, name: &str, listening_party: &str, status: &str) -> String {
        let node = self
            .nodes
            .iter()
            .find(|node| node.name == name)
            .expect("a declared node");
        let address = self.parties[listening_party].address();
        endpoint_entry(&EndpointEntry {
            name,
            address,
            shard: node.shard,
            status,
        })
    }

    fn restart_node(&mut self, name: &str) {
        self.restarted_node = Some(name.to_owned());
        self.write_inventory();
        self.record(&format!("{name} has just started"));
    }

    fn write_inventory(&self) {
        let entries: Vec<InventoryEntry> = self
            .nodes
            .iter()
            .map(|node| self.inventory_entry(node))
            .collect();
        self.directory.write(INVENTORY_FILE, &inventory(&entries));
    }

    fn inventory_entry<'a>(&self, node: &'a Node) -> InventoryEntry<'a> {
        let party = &self.parties[&node.name];
        let just_started = self.restarted_node.as_ref() == Some(&node.name);
        InventoryEntry {
            name: &node.name,
            address: party.address(),
            shard: node.shard,
            protocol: if party.protocol == Protocol::Sftp {
                "sftp"
            } else {
                "resp2"
            },
            since_ms: if just_started { now_ms() } else { 0 },
        }
    }

    fn move_discovery(&mut self) {
        let former = self
            .parties
            .remove(DISCOVERY)
            .expect("there is one discovery");
        let new = Party::listen(Protocol::Http);
        let config = self.directory.read(CONFIG_FILE);
        let config = replace_setting(
            &config,
            &former.address().to_string(),
            &new.address().to_string(),
        );
        self.directory.write(CONFIG_FILE, &config);
        self.parties.insert(DISCOVERY.to_owned(), new);
        self.parties.insert(FORMER_DISCOVERY.to_owned(), former);
        self.record("discovery moves");
    }

    fn invalidate_config(&mut self) {
        self.directory.write(CONFIG_FILE, "{\"discovery\":");
        self.record("the configuration is invalid");
    }
}

/// A node's response in RESP2: with a value and its cost, or one line as it stands.
fn encode_node_response(words: &[&str]) -> Vec<u8> {
    let (kind, rest) = words.split_first().expect("a response");
    let text = rest.join(" ");
    let response = format!("*3\r\n${}\r\n{text}\r\n$6\r\ncost=4\r\n$-1\r\n", text.len());
    match *kind {
        "value" | "more" => response.into_bytes(),
        "twice" => response.repeat(2).into_bytes(),
        "raw" => encode_line(rest),
        other => panic!("no response is called {other}"),
    }
}

fn encode_line(words: &[&str]) -> Vec<u8> {
    format!("{}\r\n", words.join(" ")).into_bytes()
}

fn now_ms() -> u128 {
    let since_epoch = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    since_epoch.expect("the clock is after 1970").as_millis()
}
