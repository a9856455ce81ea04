//! Encoding of replies to commands.

use super::error::{RequestError, SyntaxError};
use crate::resp_bulk_string::append_bulk_string;
use crate::resp_wire_names::BUSY_ERROR;
use crate::storage_request::{Response, ResponseBody};
use deployment_settings::milliseconds;
use io_scheduler::Micros;

/// Reply to a command that the gateway accepts and that has no effect.
pub(super) const OK: &[u8] = b"+OK\r\n";
/// Reply to `PING` while the gateway can serve requests.
pub(super) const PONG: &[u8] = b"+PONG\r\n";
/// Reply to `PING` while the gateway cannot serve requests yet.
pub(super) const NOT_READY: &[u8] = b"-ERR not ready\r\n";
/// Reply to a command with too few or too many arguments.
pub(super) const WRONG_ARGUMENT_COUNT: &[u8] = b"-ERR wrong number of arguments\r\n";
/// Reply to an unknown command.
pub(super) const UNKNOWN_COMMAND: &[u8] = b"-ERR unknown command\r\n";
/// Last reply on a connection whose command was not received completely in time.
pub(super) const INCOMPLETE_COMMAND: &[u8] = b"-ERR the command was not whole in time\r\n";

/// Encodes the response to a request as the reply to its command.
pub(super) fn encode_response(response: Response) -> Vec<u8> {
    match response {
        Response::Served(body) => encode_body(body),
        Response::Rejected { retry_after } => encode_rejection(retry_after),
        Response::Invalid(error) => encode_error(&error.to_string()),
        Response::Failed => encode_error("failed"),
        Response::TimedOut => encode_error("timed out"),
    }
}

/// Encodes the body of a served request.
fn encode_body(body: ResponseBody) -> Vec<u8> {
    match body {
        ResponseBody::Value(value) => encode_bulk_string(&value),
        // A file server's reply to a write has no value, whereas a RESP2 node's reply has one.
        ResponseBody::Size(_) | ResponseBody::Entries(_) => encode_bulk_string(b""),
        ResponseBody::NotFound => encode_error("not found"),
    }
}

/// Encodes the reply to a rejected request. The reply contains the Retry-After time in
/// milliseconds, rounded up, unless it is zero.
pub(super) fn encode_rejection(retry_after: Micros) -> Vec<u8> {
    if retry_after <= 0 {
        return format!("-{BUSY_ERROR}\r\n").into_bytes();
    }
    let retry_after_ms = milliseconds(retry_after).ceil();
    format!("-{BUSY_ERROR} {retry_after_ms}\r\n").into_bytes()
}

/// Encodes the reply to an invalid request. CR and LF in the error text are replaced with spaces,
/// because the text may quote parts of the request.
pub(super) fn encode_request_error(error: &RequestError) -> Vec<u8> {
    let text = error.to_string().replace(['\r', '\n'], " ");
    encode_error(&text)
}

/// Encodes the last reply on a connection whose input is not a valid command.
pub(super) fn encode_syntax_error(error: SyntaxError) -> Vec<u8> {
    encode_error(&format!("Protocol error: {error}"))
}

/// Encodes an error reply.
fn encode_error(text: &str) -> Vec<u8> {
    format!("-ERR {text}\r\n").into_bytes()
}

/// Encodes a bulk string reply.
fn encode_bulk_string(value: &[u8]) -> Vec<u8> {
    let mut bytes = Vec::new();
    append_bulk_string(value, &mut bytes);
    bytes
}
