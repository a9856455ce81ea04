//! The protocols for storage nodes. Replies are decoded in pieces of any size, and malformed or
//! unsolicited replies are errors.

use crate::support::storage_request::{storage_request, MAX_VALUE_BYTES};
use io_scheduler::{Outcome, Units};
use storage_gateway::node_protocol::resp::RespProtocol;
use storage_gateway::node_protocol::sftp::SftpProtocol;
use storage_gateway::node_protocol::{NodeProtocol, ProtocolError};
use storage_gateway::resp_bulk_string::MissingTerminator;
use storage_gateway::sftp_packet::{OpenFlags, Packet, PacketType, RequestId, StatusCode};
use storage_gateway::storage_request::{AttemptResult, Operation, ResponseBody};

/// The fields of an [`AttemptResult`], in a type that can be compared.
#[derive(Debug, PartialEq)]
struct ComparableResult {
    outcome: Outcome,
    body: Option<ResponseBody>,
    utilization: Option<f64>,
    remote_units: f64,
}

impl ComparableResult {
    /// Returns the result of a read that was served with the value `text`.
    fn served(text: &str, utilization: Option<f64>, remote_units: f64) -> ComparableResult {
        ComparableResult {
            outcome: Outcome::Served,
            body: value_body(text),
            utilization,
            remote_units,
        }
    }

    /// Returns the result of an attempt that the node rejected or failed.
    fn not_served(outcome: Outcome, remote_units: f64) -> ComparableResult {
        ComparableResult {
            outcome,
            body: None,
            utilization: None,
            remote_units,
        }
    }
}

impl From<AttemptResult> for ComparableResult {
    fn from(result: AttemptResult) -> ComparableResult {
        let AttemptResult {
            outcome,
            body,
            remote_units: Units(remote_units),
            utilization,
        } = result;
        ComparableResult {
            outcome,
            body,
            utilization,
            remote_units,
        }
    }
}

/// Decodes a reply that arrives byte by byte. Checks that the result is returned after the last
/// byte and not earlier.
fn decode_byte_by_byte(
    protocol: &mut dyn NodeProtocol,
    reply: &[u8],
) -> Result<AttemptResult, ProtocolError> {
    let (mut input, mut output) = (Vec::new(), Vec::new());
    for (index, byte) in reply.iter().enumerate() {
        input.push(*byte);
        if let Some(result) = protocol.decode(&mut input, &mut output)? {
            assert_eq!((index + 1, input.len()), (reply.len(), 0));
            return Ok(result);
        }
    }
    panic!("no result after {:?}", String::from_utf8_lossy(reply));
}

/// Sends a read over RESP2, checks its encoding, and decodes the reply.
fn resp_read(reply: &str) -> Result<ComparableResult, ProtocolError> {
    let mut protocol = RespProtocol::new(MAX_VALUE_BYTES);
    let mut output = Vec::new();
    let bytes_before_execution =
        protocol.encode_request(&storage_request(Operation::Read), 480, &mut output);
    assert_eq!(
        bytes_before_execution + 1,
        output.len(),
        "a node should execute a command only after its last byte"
    );
    let command =
        "*4\r\n$5\r\nIO.IN\r\n$16\r\n00000000000000ab\r\n$1\r\nx\r\n$19\r\nc=read,d=480,t=gold\r\n";
    assert_eq!(String::from_utf8_lossy(&output), command);
    decode_byte_by_byte(&mut protocol, reply.as_bytes()).map(ComparableResult::from)
}

/// Returns the body of a response that contains the value `text`.
fn value_body(text: &str) -> Option<ResponseBody> {
    Some(ResponseBody::Value(text.as_bytes().to_vec()))
}

/// A reply with a value ends with a usage report and a load report, either of which may be null.
/// The gateway reads the utilization (`used`) and the units served through other gateways (`cost`)
/// from the usage report, and ignores the load report. An error may contain a usage report, too.
#[test]
fn resp_reply_is_decoded_with_its_usage_report() {
    let with_reports = "*3\r\n$2\r\nv\r\r\n$14\r\nused=37,cost=4\r\n$7\r\nqueue=2\r\n";
    assert_eq!(
        resp_read(with_reports),
        Ok(ComparableResult::served("v\r", Some(0.37), 4.0))
    );
    let without_reports = "*3\r\n$0\r\n\r\n$-1\r\n$-1\r\n";
    assert_eq!(
        resp_read(without_reports),
        Ok(ComparableResult::served("", None, 0.0))
    );
    assert_eq!(
        resp_read("-BUSY\r\n"),
        Ok(ComparableResult::not_served(Outcome::Overloaded, 0.0))
    );
    assert_eq!(
        resp_read("-ERR failed cost=2 queue=1\r\n"),
        Ok(ComparableResult::not_served(Outcome::Error, 2.0))
    );
}

/// An invalid usage or load report must be ignored: the value of the reply is still served.
#[test]
fn resp_value_is_served_despite_malformed_or_out_of_range_reports() {
    let served = Ok(ComparableResult::served("v", None, 0.0));
    let reports = [
        "$9\r\nused=1e99\r\n:1\r\n",
        "*1\r\n$1\r\nx\r\n-what\r\n",
        "$9\r\ncost=none\r\n$0\r\n\r\n",
    ];
    for report in reports {
        assert_eq!(
            resp_read(&format!("*3\r\n$1\r\nv\r\n{report}")),
            served,
            "{report:?}"
        );
    }
    let mut protocol = RespProtocol::new(MAX_VALUE_BYTES);
    protocol.encode_request(&storage_request(Operation::Read), 1, &mut Vec::new());
    let not_utf8 = b"*3\r\n$1\r\nv\r\n$2\r\n\xff\xfe\r\n$1\r\n\x80\r\n";
    let result =
        decode_byte_by_byte(&mut protocol, not_utf8).expect("the reply should be accepted");
    assert_eq!(result.body, value_body("v"));
}

/// The command whose reply shows that all earlier commands have been replied to.
const RESP_BARRIER: &str = "*2\r\n$6\r\nSELECT\r\n$1\r\n0\r\n";

/// Sends a request for each operation on one RESP2 connection, and decodes its reply before the
/// next one. Returns what is decoded from the last of `replies`, and what is sent behind the
/// requests.
fn last_resp_result(
    operations: &[Operation],
    replies: &[&str],
) -> (Result<Option<ComparableResult>, ProtocolError>, String) {
    let mut protocol = RespProtocol::new(MAX_VALUE_BYTES);
    let (mut output, mut last) = (Vec::new(), Ok(None));
    for (operation, reply) in operations.iter().zip(replies) {
        protocol.encode_request(&storage_request(*operation), 1, &mut Vec::new());
        let mut input = reply.as_bytes().to_vec();
        last = protocol.decode(&mut input, &mut output);
    }
    let result = last.map(|result| result.map(ComparableResult::from));
    (result, String::from_utf8_lossy(&output).into_owned())
}

/// Guards against using a late duplicate for the next request. The duplicate may have other
/// reports.
#[test]
fn resp_reply_after_a_duplicate_belongs_to_the_request() {
    let first = "*3\r\n$1\r\na\r\n$7\r\nqueue=2\r\n$-1\r\n";
    let duplicate = "*3\r\n$1\r\na\r\n$7\r\nqueue=3\r\n$-1\r\n";
    let right = "*3\r\n$1\r\nb\r\n$-1\r\n$-1\r\n";
    let operations = [Operation::Read, Operation::Write];
    let served = Ok(Some(ComparableResult::served("b", None, 0.0)));
    assert_eq!(
        last_resp_result(&operations, &[first, &format!("{duplicate}{right}")]),
        (served, RESP_BARRIER.to_owned())
    );
}

/// Encodes a node's reply with a value and no reports.
fn resp_value(text: &str) -> String {
    format!("*3\r\n${}\r\n{text}\r\n$-1\r\n$-1\r\n", text.len())
}

/// A duplicate arrives for a request that was written before the reply to an earlier barrier.
/// Guards against taking that reply for the one to the barrier behind this request.
#[test]
fn reply_to_an_earlier_barrier_does_not_release_a_held_resp_reply() {
    let [a, b, c, d] = ["a", "b", "c", "d"].map(resp_value);
    let operations = [Operation::Read; 4];
    // The third request gets the duplicate of `a`, then its own reply.
    let third = format!("{a}{c}");
    let two_barriers = RESP_BARRIER.repeat(2);
    let duplicate = format!("{b}+OK\r\n");
    assert_eq!(
        last_resp_result(&operations, &[&a, &b, &third, &duplicate]),
        (Ok(None), two_barriers.clone())
    );
    let served = Ok(Some(ComparableResult::served("d", None, 0.0)));
    let duplicate_and_reply = duplicate + &d;
    assert_eq!(
        last_resp_result(&operations, &[&a, &b, &third, &duplicate_and_reply]),
        (served, two_barriers)
    );
}

/// A node may give equal replies to two requests. Guards against discarding the second one.
#[test]
fn equal_resp_reply_is_used_once_the_barrier_is_replied_to() {
    let value = "*3\r\n$1\r\na\r\n$-1\r\n$-1\r\n";
    let operations = [Operation::Read, Operation::Read];
    assert_eq!(
        last_resp_result(&operations, &[value, value]),
        (Ok(None), RESP_BARRIER.to_owned())
    );
    let served = Ok(Some(ComparableResult::served("a", None, 0.0)));
    assert_eq!(
        last_resp_result(&operations, &[value, &format!("{value}+OK\r\n")]),
        (served, RESP_BARRIER.to_owned())
    );
}

/// A node that rejects everything rejects the barrier, too: the error may be the reply to either.
/// Guards against a promise that the request was not executed, which would repeat a write.
#[test]
fn resp_request_may_have_been_executed_if_the_barrier_gets_an_error() {
    let value = "*3\r\n$1\r\na\r\n$-1\r\n$-1\r\n";
    for error in ["-ERR failed\r\n", "-BUSY\r\n"] {
        let operations = [Operation::Read, Operation::Write];
        let result = Ok(Some(ComparableResult::not_served(Outcome::Error, 0.0)));
        assert_eq!(
            last_resp_result(&operations, &[value, &format!("{value}{error}")]),
            (result, RESP_BARRIER.to_owned()),
            "{error:?}"
        );
    }
}

/// Errors are often equal. Guards against a barrier for each of them, which costs connections.
#[test]
fn repeated_resp_error_is_used_at_once() {
    for (reply, outcome) in [
        ("-ERR failed\r\n", Outcome::Error),
        ("-BUSY\r\n", Outcome::Overloaded),
    ] {
        let result = Ok(Some(ComparableResult::not_served(outcome, 0.0)));
        let operations = [Operation::Write, Operation::Write];
        assert_eq!(
            last_resp_result(&operations, &[reply, reply]),
            (result, String::new())
        );
    }
}

#[test]
fn malformed_resp_reply_is_a_protocol_error() {
    let missing_terminator = ProtocolError::MissingTerminator(MissingTerminator);
    let malformed = [
        ("?", ProtocolError::UnexpectedType),
        ("*1\r\n$-1\r\n", ProtocolError::UnexpectedType),
        ("-NOPERM\r\n", ProtocolError::UnknownError),
        ("-\r\n", ProtocolError::UnknownError),
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
    for (reply, error) in malformed {
        assert_eq!(resp_read(reply).err(), Some(error), "{reply:?}");
    }
}

/// A node may send larger values than a client, up to a maximum that depends on the memory budget.
/// The declared length of a value counts as buffered until the value is complete.
#[test]
fn resp_value_is_accepted_up_to_the_maximum_value_length() {
    let text = "v".repeat(400 << 10);
    let reply = format!("*3\r\n${}\r\n{text}\r\n$-1\r\n$-1\r\n", text.len()).into_bytes();
    for (max_value_bytes, accepted) in [(1 << 20, true), (300 << 10, false)] {
        let mut protocol = RespProtocol::new(max_value_bytes);
        protocol.encode_request(&storage_request(Operation::Read), 1, &mut Vec::new());
        let (mut input, mut decoded) = (Vec::new(), Ok(None));
        for piece in reply.chunks(16 << 10) {
            input.extend_from_slice(piece);
            decoded = protocol.decode(&mut input, &mut Vec::new());
            if decoded.is_err() {
                break;
            }
            let expected_bytes = if matches!(decoded, Ok(None)) {
                text.len()
            } else {
                0
            };
            assert_eq!(protocol.counted_response_bytes(), expected_bytes);
        }
        match decoded {
            Ok(Some(result)) => assert_eq!((result.body, accepted), (value_body(&text), true)),
            Ok(None) => panic!("no result after the whole reply; limit {max_value_bytes} bytes"),
            Err(error) => {
                assert_eq!((error, accepted), (ProtocolError::InvalidLength, false));
            }
        }
    }
}

/// A reply that arrives while no request is in flight must not be mistaken for the reply to the
/// next request, even if only its first byte has arrived.
#[test]
fn unsolicited_resp_reply_is_a_protocol_error() {
    for unsolicited in [&b"*3\r\n$1\r\nv\r\n$-1\r\n$-1\r\n"[..], b"*"] {
        let mut protocol = RespProtocol::new(MAX_VALUE_BYTES);
        assert!(protocol
            .decode(&mut unsolicited.to_vec(), &mut Vec::new())
            .is_err());
    }
}

/// Returns a HANDLE packet with the handle `h`.
fn handle_packet(id: u32) -> Vec<u8> {
    Packet::with_id(PacketType::HANDLE, RequestId(id))
        .string("h")
        .finish()
}

/// Returns a STATUS packet with an empty message.
fn status_packet(id: u32, code: StatusCode) -> Vec<u8> {
    Packet::with_id(PacketType::STATUS, RequestId(id))
        .u32(code as u32)
        .string("")
        .string("")
        .finish()
}

/// Decodes a packet, and checks that it is valid and does not complete a request.
#[track_caller]
fn assert_no_result(protocol: &mut SftpProtocol, mut packet: Vec<u8>) {
    let result = protocol.decode(&mut packet, &mut Vec::new());
    assert!(matches!(result, Ok(None)));
}

/// Returns the protocol of an SFTP connection whose handshake is complete.
fn sftp_protocol_after_handshake() -> SftpProtocol {
    let mut protocol = SftpProtocol::new(MAX_VALUE_BYTES);
    protocol.start_handshake(&mut Vec::new());
    assert!(!protocol.is_ready());
    assert_no_result(
        &mut protocol,
        Packet::new(PacketType::VERSION).u32(3).finish(),
    );
    assert!(protocol.is_ready());
    protocol
}

/// Starts a write, and checks that its OPEN has the flags that create or truncate the file.
fn start_sftp_write(protocol: &mut SftpProtocol) {
    let mut output = Vec::new();
    assert_eq!(
        protocol.encode_request(&storage_request(Operation::Write), 1, &mut output),
        0,
        "an OPEN may take effect as soon as its first byte is written"
    );
    let flags = OpenFlags::WRITE | OpenFlags::CREATE | OpenFlags::TRUNCATE;
    let flags = flags.0.to_be_bytes();
    assert!(output.windows(4).any(|window| window == flags));
}

/// Starts a read; its reply is decoded later.
fn start_sftp_read(protocol: &mut SftpProtocol) {
    protocol.encode_request(&storage_request(Operation::Read), 1, &mut Vec::new());
}

/// Checks which SFTP replies are ignored, complete a read or are errors. A read must fail when its
/// data exceeds the maximum length of a value.
#[test]
fn sftp_reply_with_an_unknown_id_is_ignored_and_a_read_of_too_much_data_fails() {
    let mut protocol = sftp_protocol_after_handshake();
    start_sftp_write(&mut protocol);
    // No command has the id 77, so the reply is ignored.
    assert_no_result(&mut protocol, handle_packet(77));
    // NoSuchFile completes the read: the object does not exist.
    start_sftp_read(&mut protocol);
    let result = decode_byte_by_byte(&mut protocol, &status_packet(2, StatusCode::NoSuchFile));
    assert_eq!(
        result.expect("the read should be completed").body,
        Some(ResponseBody::NotFound)
    );
    // With the third packet of 30 KiB the value is longer than 64 KiB: the read fails, and a CLOSE
    // is sent.
    start_sftp_read(&mut protocol);
    assert_no_result(&mut protocol, handle_packet(3));
    for id in 4..7 {
        let mut input = Packet::with_id(PacketType::DATA, RequestId(id))
            .string(vec![0; 30 << 10])
            .finish();
        let result = protocol.decode(&mut input, &mut Vec::new());
        let outcome = result
            .expect("the packet should be valid")
            .map(|result| result.outcome);
        let expected = if id == 6 { Some(Outcome::Error) } else { None };
        assert_eq!(outcome, expected, "packet {id}");
    }
    // The reply to this CLOSE is ignored, because the request is already complete. A second reply
    // is unsolicited, which is an error.
    let close_reply = status_packet(7, StatusCode::Ok);
    assert_no_result(&mut protocol, close_reply.clone());
    assert_eq!(
        protocol
            .decode(&mut close_reply.clone(), &mut Vec::new())
            .err(),
        Some(ProtocolError::UnsolicitedReply)
    );
}
