//! Parsers must not panic on any input, and must advance past some input whenever they return a
//! command or a result.

use crate::support::random_numbers::RandomNumbers;
use crate::support::settings::deployment_settings;
use crate::support::storage_request::{storage_request, MAX_VALUE_BYTES};
use std::rc::Rc;
use storage_gateway::client_protocol::resp::{RequestSchema, RespProtocol};
use storage_gateway::client_protocol::{ClientProtocol, ParsedCommand};
use storage_gateway::discovery::WatchParser;
use storage_gateway::node_protocol::{self, NodeProtocol};
use storage_gateway::storage_request::{CommandNumber, Operation};

/// Fragments from which random input is composed. They occur in the protocols, so that some
/// inputs pass the checks of the first bytes.
const FRAGMENTS: [&[u8]; 17] = [
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

/// Returns random input of 1 to 16 fragments.
fn random_input(random: &mut RandomNumbers) -> Vec<u8> {
    let mut input = Vec::new();
    for _ in 0..=random.below(16) {
        let index = random.below(FRAGMENTS.len() as u64);
        input.extend_from_slice(FRAGMENTS[index as usize]);
    }
    input
}

/// Checks that a parsed client command consumes input, unless it is incomplete or closes the
/// connection.
fn check_client_protocol(schema: &Rc<RequestSchema>, input: &[u8]) {
    let mut position = 0;
    let parsed_command = RespProtocol::new(schema.clone()).parse_command(
        input,
        &mut position,
        CommandNumber::FIRST,
        true,
    );
    let may_consume_nothing = matches!(
        parsed_command,
        ParsedCommand::Incomplete | ParsedCommand::Close(_)
    );
    assert!(position <= input.len() && (position > 0 || may_consume_nothing));
}

/// Checks that each node protocol consumes input whenever it returns the result of an attempt.
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

/// Checks that the input, which is not a valid HTTP response, is not parsed as an update of the
/// endpoint list.
fn check_watch_parser(input: &[u8]) {
    let mut updates = Vec::new();
    let result = WatchParser::default().feed(input, &mut updates);
    assert!(result.is_err() || updates.is_empty());
}

/// A client command that consumed no input would be parsed again in an endless loop.
#[test]
fn parsers_do_not_panic_on_random_input_and_advance_with_each_result() {
    let schema = RequestSchema::new(&deployment_settings());
    let mut random = RandomNumbers::new(1);
    for _ in 0..20_000 {
        let input = random_input(&mut random);
        check_client_protocol(&schema, &input);
        check_node_protocols(&input);
        check_watch_parser(&input);
    }
}
