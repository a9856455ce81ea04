//! The `send` statement: encodes and sends the messages of each kind of peer.

use super::message::Protocol;
use super::scenario::{Scenario, CONSOLE, DISCOVERY, GATEWAY};
use super::sftp_message;
use crate::harness::discovery::{
    encode_chunk, encode_update_line, UpdateKind, CHUNKED_RESPONSE_HEAD,
};
use crate::harness::resp::encode_array;
use rustix::process::Signal;
use std::io::Write;

impl Scenario {
    /// Sends a message as this peer, or a signal to the gateway.
    pub fn send(&mut self, name: &str, words: &[&str]) {
        self.record(&format!("{name} > {}", words.join(" ")));
        match name {
            GATEWAY => self.send_signal(words[0]),
            CONSOLE => self.send_console_line(words),
            DISCOVERY => self.send_update(words),
            _ if self.nodes.iter().any(|node| node.name == name) => self.send_as_node(name, words),
            _ => self.send_as_client(name, words),
        }
    }

    /// Sends a signal to the gateway.
    fn send_signal(&mut self, name: &str) {
        let signal = match name {
            "HUP" => Signal::HUP,
            "TERM" => Signal::TERM,
            other => panic!("unknown signal: {other}"),
        };
        self.gateway().process.send_signal(signal);
    }

    /// Sends a line to the gateway's console.
    fn send_console_line(&mut self, words: &[&str]) {
        let input = &mut self.gateway().console_input;
        writeln!(input, "{}", words.join(" ")).expect("the gateway should read its console");
    }

    /// Sends a command or a packet on the connection of the client.
    fn send_as_client(&mut self, name: &str, words: &[&str]) {
        let peer = self.peer(name);
        let target = peer.next_request_target();
        let bytes = match (peer.protocol, words) {
            (Protocol::Sftp, _) => sftp_message::encode(words, target.request_id),
            (_, ["raw", line @ ..]) => encode_line(line),
            _ => encode_array(words).into_bytes(),
        };
        peer.send(target.connection, &bytes);
    }

    /// Sends a response on the connection of its request, or an unsolicited one on the newest
    /// connection.
    fn send_as_node(&mut self, name: &str, words: &[&str]) {
        let peer = self.peer(name);
        let target = match words[0] {
            "unsolicited" => peer.newest_connection(),
            _ => peer.take_oldest_request(),
        };
        let bytes = match peer.protocol {
            Protocol::Sftp => sftp_message::encode(words, target.request_id),
            _ => encode_node_response(words),
        };
        peer.send(target.connection, &bytes);
    }

    /// Sends an update: `snapshot`, or the delta `STATUS NODE [PEER]`. PEER is the peer whose
    /// address the node gets.
    fn send_update(&mut self, words: &[&str]) {
        self.list_index += 1;
        let bytes = match words {
            ["snapshot"] => {
                let entries = self.all_nodes_in_service();
                let list = encode_update_line(self.list_index, UpdateKind::Snapshot, &entries);
                CHUNKED_RESPONSE_HEAD.to_owned() + &encode_chunk(&list)
            }
            [status, node] => self.encode_delta(node, node, status),
            [status, node, other] => self.encode_delta(node, other, status),
            _ => panic!("unknown update: expected `snapshot` or `STATUS NODE [PEER]`"),
        };
        let discovery = self.peer(DISCOVERY);
        discovery.send(discovery.newest_connection().connection, bytes.as_bytes());
    }

    /// Encodes a delta with one node, which gets the address of `listening_peer`.
    fn encode_delta(&self, node: &str, listening_peer: &str, status: &str) -> String {
        let entry = self.endpoint_entry(node, listening_peer, status);
        encode_chunk(&encode_update_line(
            self.list_index,
            UpdateKind::Delta,
            &[entry],
        ))
    }
}

/// Encodes a RESP2 response with a value and a usage report (`cost=4`), or a line without any
/// encoding.
fn encode_node_response(words: &[&str]) -> Vec<u8> {
    let (kind, rest) = words.split_first().expect("the response should have words");
    let text = rest.join(" ");
    let response = format!("*3\r\n${}\r\n{text}\r\n$6\r\ncost=4\r\n$-1\r\n", text.len());
    match *kind {
        "value" | "unsolicited" => response.into_bytes(),
        "value_twice" => response.repeat(2).into_bytes(),
        "raw" => encode_line(rest),
        other => panic!("unknown response: {other}"),
    }
}

/// Encodes words as a line that ends with CR LF.
fn encode_line(words: &[&str]) -> Vec<u8> {
    format!("{}\r\n", words.join(" ")).into_bytes()
}
