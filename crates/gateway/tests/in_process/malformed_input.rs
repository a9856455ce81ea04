//! Parsers accept any input without a panic, and never report a result that consumed no input.

use crate::support::random_numbers::RandomNumbers;
use crate::support::settings::deployment_settings;
use crate::support::storage_request::{storage_request, MAX_VALUE_BYTES};
use std::rc::Rc;
use storage_gateway::client_protocol::resp::{RequestSchema, RespProtocol};
use storage_gateway::client_protocol::{ClientProtocol, ParsedCommand};
use storage_gateway::discovery::WatchParser;
use storage_gateway::node_protocol::{self, NodeProtocol};
use storage_gateway::storage_request::{CommandNumber, Operation};

/// Pieces that random input is made of: what the protocols use, so that it gets past their first
/// bytes.
const ALPHABET: [&[u8]; 17] = [
    b"*",
    b"$",
    b"-1",
    b"1",
    b"4",
    b"\r\n",
    b"9999999999999999999",
    b"IO.IN",
    b"\0\0\0",
    b"\x05",
    b"\xff",
    b"c=read,t=gold,d=1,volume=",
    b"0000000000000001",
    b":",
    b"-ERR ",
    b"\x65",
    b"\x01",
];

/// Random input of 1 to 16 pieces.
fn random_input(random: &mut RandomNumbers) -> Vec<u8> {
    let mut input = Vec::new();
    for _ in 0..=random.below(16) {
        let piece = random.below(ALPHABET.len() as u64);
        input.extend_from_slice(ALPHABET[piece as usize]);
    }
    input
}

/// A command of a client consumes input, unless it is incomplete or ends the connection.
fn check_client_protocol(schema: &Rc<RequestSchema>, input: &[u8]) {
    let mut position = 0;
    let step = RespProtocol::new(schema.clone()).parse_command(
        input,
        &mut position,
        CommandNumber::FIRST,
        true,
    );
    let may_consume_nothing = matches!(step, ParsedCommand::Incomplete | ParsedCommand::Close(_));
    assert!(position <= input.len() && (position > 0 || may_consume_nothing));
}

/// A result of an attempt consumes input.
fn check_node_protocols(input: &[u8]) {
    let mut output = Vec::new();
    let mut protocols: [Box<dyn NodeProtocol>; 2] = [
        Box::new(node_protocol::resp::RespProtocol::new(MAX_VALUE_BYTES)),
        Box::new(node_protocol::sftp::SftpProtocol::new(MAX_VALUE_BYTES)),
    ];
    for protocol in &mut protocols {
        protocol.encode_request(&storage_request(Operation::Read), 1, &mut output);
        let mut unread = input.to_vec();
        if let Ok(Some(result)) = protocol.decode(&mut unread, &mut output) {
            assert!(unread.len() < input.len(), "{result:?} consumed no input");
        }
    }
}

/// Random input is never an update of the endpoint list.
fn check_watch_parser(input: &[u8]) {
    let mut updates = Vec::new();
    let result = WatchParser::default().feed(input, &mut updates);
    assert!(result.is_err() || updates.is_empty());
}

#[test]
fn random_input_causes_no_panic_and_no_result_without_consumed_input() {
    let schema = RequestSchema::new(&deployment_settings());
    let mut random = RandomNumbers::new(1);
    for _ in 0..20_000 {
        let input = random_input(&mut random);
        check_client_protocol(&schema, &input);
        check_node_protocols(&input);
        check_watch_parser(&input);
    }
}
