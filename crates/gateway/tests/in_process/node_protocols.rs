//! The protocols towards storage nodes: responses are decoded in pieces of any size, and malformed
//! or unsolicited ones are errors.

use crate::support::storage_request::{storage_request, MAX_VALUE_BYTES};
use io_scheduler::{Outcome, Units};
use storage_gateway::node_protocol::resp::RespProtocol;
use storage_gateway::node_protocol::sftp::SftpProtocol;
use storage_gateway::node_protocol::{NodeProtocol, ProtocolError};
use storage_gateway::resp_bulk_string::MissingTerminator;
use storage_gateway::sftp_packet::{OpenFlags, Packet, PacketType, RequestId, StatusCode};
use storage_gateway::storage_request::{AttemptResult, Operation, ResponseBody};

/// What the tests compare of an attempt's result.
#[derive(Debug, PartialEq)]
struct ComparedResult {
    outcome: Outcome,
    body: Option<ResponseBody>,
    utilization: Option<f64>,
    remote_units: f64,
}

impl ComparedResult {
    /// A read that was served with this value.
    fn served(text: &str, utilization: Option<f64>, remote_units: f64) -> ComparedResult {
        ComparedResult {
            outcome: Outcome::Served,
            body: value(text),
            utilization,
            remote_units,
        }
    }

    /// An attempt that the node rejected or failed, without a load report.
    fn unserved(outcome: Outcome, remote_units: f64) -> ComparedResult {
        ComparedResult {
            outcome,
            body: None,
            utilization: None,
            remote_units,
        }
    }
}

impl From<AttemptResult> for ComparedResult {
    fn from(result: AttemptResult) -> ComparedResult {
        let AttemptResult {
            outcome,
            body,
            remote_units: Units(remote_units),
            utilization,
        } = result;
        ComparedResult {
            outcome,
            body,
            utilization,
            remote_units,
        }
    }
}

/// Feeds a response byte by byte; it must be complete with its last byte and not before.
fn decode_byte_by_byte(
    protocol: &mut dyn NodeProtocol,
    response: &[u8],
) -> Result<AttemptResult, ProtocolError> {
    let (mut input, mut output) = (Vec::new(), Vec::new());
    for (index, byte) in response.iter().enumerate() {
        input.push(*byte);
        if let Some(result) = protocol.decode(&mut input, &mut output)? {
            assert_eq!((index + 1, input.len()), (response.len(), 0));
            return Ok(result);
        }
    }
    panic!("no result after {:?}", String::from_utf8_lossy(response));
}

/// Sends a read over RESP and decodes the response; checks the request's wire form on the way.
fn resp_exchange(response: &str) -> Result<ComparedResult, ProtocolError> {
    let mut protocol = RespProtocol::new(MAX_VALUE_BYTES);
    let mut output = Vec::new();
    let bytes_without_effect =
        protocol.encode_request(&storage_request(Operation::Read), 480, &mut output);
    assert_eq!(
        bytes_without_effect + 1,
        output.len(),
        "it has not run before its last byte has left"
    );
    let command =
        "*4\r\n$5\r\nIO.IN\r\n$16\r\n00000000000000ab\r\n$1\r\nx\r\n$19\r\nc=read,d=480,t=gold\r\n";
    assert_eq!(String::from_utf8_lossy(&output), command);
    decode_byte_by_byte(&mut protocol, response.as_bytes()).map(ComparedResult::from)
}

/// The body of a response with a value.
fn value(text: &str) -> Option<ResponseBody> {
    Some(ResponseBody::Value(text.as_bytes().to_vec()))
}

#[test]
fn resp_response_is_decoded_with_its_cost_and_load_report() {
    let with_report = "*3\r\n$2\r\nv\r\r\n$14\r\nused=37,cost=4\r\n$7\r\nqueue=2\r\n";
    assert_eq!(
        resp_exchange(with_report),
        Ok(ComparedResult::served("v\r", Some(0.37), 4.0))
    );
    let without_report = "*3\r\n$0\r\n\r\n$-1\r\n$-1\r\n";
    assert_eq!(
        resp_exchange(without_report),
        Ok(ComparedResult::served("", None, 0.0))
    );
    assert_eq!(
        resp_exchange("-BUSY\r\n"),
        Ok(ComparedResult::unserved(Outcome::Overloaded, 0.0))
    );
    assert_eq!(
        resp_exchange("-ERR failed cost=2 queue=1\r\n"),
        Ok(ComparedResult::unserved(Outcome::Error, 2.0))
    );
}

#[test]
fn resp_load_report_that_is_unreadable_or_absurd_leaves_the_value_served() {
    let served = Ok(ComparedResult::served("v", None, 0.0));
    let reports = [
        "$9\r\nused=1e99\r\n:1\r\n",
        "*1\r\n$1\r\nx\r\n-what\r\n",
        "$9\r\ncost=none\r\n$0\r\n\r\n",
    ];
    for report in reports {
        assert_eq!(
            resp_exchange(&format!("*3\r\n$1\r\nv\r\n{report}")),
            served,
            "{report:?}"
        );
    }
    let mut protocol = RespProtocol::new(MAX_VALUE_BYTES);
    protocol.encode_request(&storage_request(Operation::Read), 1, &mut Vec::new());
    let not_utf8 = b"*3\r\n$1\r\nv\r\n$2\r\n\xff\xfe\r\n$1\r\n\x80\r\n";
    let result = decode_byte_by_byte(&mut protocol, not_utf8).expect("the value is valid");
    assert_eq!(result.body, value("v"));
}

#[test]
fn malformed_resp_response_is_a_protocol_error() {
    let missing_terminator = ProtocolError::MissingTerminator(MissingTerminator);
    let malformed = [
        ("?", ProtocolError::UnexpectedType),
        ("*1\r\n$-1\r\n", ProtocolError::UnexpectedType),
        ("$70000\r\n", ProtocolError::UnexpectedType),
        ("*-1\r\n", ProtocolError::UnexpectedType),
        ("$1\r\nab\r\n", ProtocolError::UnexpectedType),
        ("+OK\r\n", ProtocolError::UnexpectedType),
        ("$1\r\nv\r\n", ProtocolError::UnexpectedType),
        ("*1\r\n$1\r\nv\r\n", ProtocolError::UnexpectedType),
        ("*3\r\n$3000000000\r\n", ProtocolError::InvalidLength),
        (
            "*3\r\n$aaaaaaaaaaaaaaaaaaaaaaaaaaaaa",
            ProtocolError::LineTooLong,
        ),
        ("*3\r\n$1\r\nab\r\n", missing_terminator),
    ];
    for (response, error) in malformed {
        assert_eq!(resp_exchange(response).err(), Some(error), "{response:?}");
    }
}

/// A value may be larger than what clients may send, as far as the memory budget allows.
#[test]
fn resp_value_is_accepted_up_to_the_limit_given() {
    let text = "v".repeat(400 << 10);
    let response = format!("*3\r\n${}\r\n{text}\r\n$-1\r\n$-1\r\n", text.len()).into_bytes();
    for (max_value_bytes, accepted) in [(1 << 20, true), (300 << 10, false)] {
        let mut protocol = RespProtocol::new(max_value_bytes);
        protocol.encode_request(&storage_request(Operation::Read), 1, &mut Vec::new());
        let (mut input, mut decoded) = (Vec::new(), Ok(None));
        for piece in response.chunks(16 << 10) {
            input.extend_from_slice(piece);
            decoded = protocol.decode(&mut input, &mut Vec::new());
            if decoded.is_err() {
                break;
            }
            let expected_buffer = if matches!(decoded, Ok(None)) {
                text.len()
            } else {
                0
            };
            assert_eq!(protocol.counted_response_bytes(), expected_buffer);
        }
        match decoded {
            Ok(Some(result)) => assert_eq!((result.body, accepted), (value(&text), true)),
            Ok(None) => panic!("{max_value_bytes}: the value is incomplete"),
            Err(error) => {
                assert_eq!((error, accepted), (ProtocolError::InvalidLength, false));
            }
        }
    }
}

/// Even part of an unsolicited response must not be taken for the response to the next request.
#[test]
fn unsolicited_resp_response_is_a_protocol_error() {
    for unsolicited in [&b"*3\r\n$1\r\nv\r\n$-1\r\n$-1\r\n"[..], b"*"] {
        let mut protocol = RespProtocol::new(MAX_VALUE_BYTES);
        assert!(protocol
            .decode(&mut unsolicited.to_vec(), &mut Vec::new())
            .is_err());
    }
}

/// A HANDLE reply.
fn handle_packet(id: u32) -> Vec<u8> {
    Packet::with_id(PacketType::HANDLE, RequestId(id))
        .string("h")
        .finish()
}

/// A STATUS reply without a message.
fn status_packet(id: u32, code: StatusCode) -> Vec<u8> {
    Packet::with_id(PacketType::STATUS, RequestId(id))
        .u32(code as u32)
        .string("")
        .string("")
        .finish()
}

/// Feeds a packet that is valid and completes no request.
#[track_caller]
fn decode_without_result(protocol: &mut SftpProtocol, mut packet: Vec<u8>) {
    let result = protocol.decode(&mut packet, &mut Vec::new());
    assert!(matches!(result, Ok(None)));
}

/// An SFTP connection whose handshake is complete.
fn sftp_after_handshake() -> SftpProtocol {
    let mut protocol = SftpProtocol::new(MAX_VALUE_BYTES);
    protocol.start_handshake(&mut Vec::new());
    assert!(!protocol.is_ready());
    decode_without_result(
        &mut protocol,
        Packet::new(PacketType::VERSION).u32(3).finish(),
    );
    assert!(protocol.is_ready());
    protocol
}

/// Starts a write, and checks the flags of its OPEN.
fn start_write(protocol: &mut SftpProtocol) {
    let mut output = Vec::new();
    assert_eq!(
        protocol.encode_request(&storage_request(Operation::Write), 1, &mut output),
        0,
        "any byte of a write's OPEN may take effect"
    );
    let flags = OpenFlags::WRITE | OpenFlags::CREATE | OpenFlags::TRUNCATE;
    let flags = flags.0.to_be_bytes();
    assert!(output.windows(4).any(|window| window == flags));
}

/// Starts a read.
fn start_read(protocol: &mut SftpProtocol) {
    protocol.encode_request(&storage_request(Operation::Read), 1, &mut Vec::new());
}

#[test]
fn sftp_response_with_a_foreign_id_is_ignored_and_data_without_end_fails_the_read() {
    let mut protocol = sftp_after_handshake();
    start_write(&mut protocol);
    // A response with the id of no command is ignored.
    decode_without_result(&mut protocol, handle_packet(77));
    // An object that does not exist is a complete result of a read.
    start_read(&mut protocol);
    let result = decode_byte_by_byte(&mut protocol, &status_packet(2, StatusCode::NoSuchFile));
    assert_eq!(result.expect("a result").body, Some(ResponseBody::NotFound));
    // The third packet exceeds the largest value: the read fails, and a CLOSE is sent.
    start_read(&mut protocol);
    decode_without_result(&mut protocol, handle_packet(3));
    for id in 4..7 {
        let mut input = Packet::with_id(PacketType::DATA, RequestId(id))
            .string(vec![0; 30 << 10])
            .finish();
        let result = protocol.decode(&mut input, &mut Vec::new());
        let outcome = result.expect("well formed").map(|result| result.outcome);
        let expected = if id == 6 { Some(Outcome::Error) } else { None };
        assert_eq!(outcome, expected, "packet {id}");
    }
    // The response to the CLOSE that nobody waits for is ignored once; repeated, it is an
    // error.
    let closed = status_packet(7, StatusCode::Ok);
    decode_without_result(&mut protocol, closed.clone());
    assert_eq!(
        protocol.decode(&mut closed.clone(), &mut Vec::new()).err(),
        Some(ProtocolError::UnsolicitedReply)
    );
}
