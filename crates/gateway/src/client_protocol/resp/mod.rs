//! RESP2 towards clients: the commands `IO.IN` (read) and `IO.OUT` (write), and fixed answers to the few commands
//! that client libraries send by themselves.

mod names;
mod parser;
mod request;
mod terms;

pub use names::RequestNames;
pub use parser::MAX_COMMAND_BYTES;

use super::{ClientProtocol, CommandStep, EncodedReply};
use crate::dispatcher::{Operation, Response, ResponseBody, OVERLOADED_RETRY_AFTER};
use crate::resp_bulk_string::append_bulk_string;
use crate::storage_request::SlotNumber;
use deployment_settings::milliseconds;
use io_scheduler::Micros;
use parser::parse_arguments;
use request::{build_request, RequestError};
use std::rc::Rc;

/// Idle time after which a connection is closed, in microseconds. Clients reconnect when they need to.
const IDLE_TIMEOUT: Micros = 2_500_000;

/// The protocol of one client connection. It keeps no state between commands, as no command depends on earlier
/// ones.
pub struct RespProtocol {
    /// Names and bounds for validating requests.
    names: Rc<RequestNames>,
}

impl RespProtocol {
    /// Creates the protocol of a new connection; its requests are validated against `names`.
    #[must_use]
    pub fn new(names: Rc<RequestNames>) -> RespProtocol {
        RespProtocol { names }
    }

    /// Runs a complete command: answers it or submits its request.
    fn run_command(&self, arguments: &[&[u8]], ready: bool) -> CommandStep {
        let Some(name) = arguments.first() else {
            return CommandStep::Reply(Vec::new());
        };
        match name.to_ascii_uppercase().as_slice() {
            b"IO.IN" if arguments.len() == 4 => self.submit(Operation::Read, arguments),
            b"IO.OUT" if arguments.len() == 5 => self.submit(Operation::Write, arguments),
            b"IO.IN" | b"IO.OUT" => reply(b"-ERR wrong number of arguments\r\n"),
            b"PING" if ready => reply(b"+PONG\r\n"),
            b"PING" => reply(b"-ERR not ready\r\n"),
            b"CLIENT" | b"SELECT" => reply(b"+OK\r\n"),
            _ => reply(b"-ERR unknown command\r\n"),
        }
    }

    /// Submits the request of an `IO.IN` or `IO.OUT` command, or answers with an error if it is invalid.
    fn submit(&self, operation: Operation, arguments: &[&[u8]]) -> CommandStep {
        match build_request(&self.names, operation, arguments) {
            Ok(request) => CommandStep::Submit(vec![request]),
            Err(error) => CommandStep::Reply(encode_request_error(&error)),
        }
    }
}

/// Answers a command with fixed bytes.
fn reply(bytes: &[u8]) -> CommandStep {
    CommandStep::Reply(bytes.to_vec())
}

/// Encodes the error line for an invalid request. Line ends in the text are replaced, as the text may quote parts
/// of the request.
fn encode_request_error(error: &RequestError) -> Vec<u8> {
    let text = error.to_string().replace(['\r', '\n'], " ");
    format!("-ERR {text}\r\n").into_bytes()
}

/// Encodes a bulk string.
fn encode_bulk_string(value: &[u8]) -> Vec<u8> {
    let mut bytes = Vec::new();
    append_bulk_string(value, &mut bytes);
    bytes
}

/// The reply to a rejected request. It states the time after which to retry, in milliseconds rounded up, unless
/// that is zero.
fn encode_rejection(retry_after: Micros) -> Vec<u8> {
    if retry_after <= 0 {
        return b"-BUSY\r\n".to_vec();
    }
    let retry_after_ms = milliseconds(retry_after).ceil();
    format!("-BUSY {retry_after_ms}\r\n").into_bytes()
}

impl ClientProtocol for RespProtocol {
    fn parse_command(
        &mut self,
        input: &[u8],
        position: &mut usize,
        _slot: SlotNumber,
        ready: bool,
    ) -> CommandStep {
        match parse_arguments(input, position) {
            Ok(Some(arguments)) => self.run_command(&arguments, ready),
            Ok(None) => CommandStep::Incomplete,
            Err(error) => {
                CommandStep::Close(format!("-ERR Protocol error: {error}\r\n").into_bytes())
            }
        }
    }

    fn encode_response(
        &mut self,
        slot: SlotNumber,
        response: Response,
        out: &mut Vec<EncodedReply>,
    ) {
        let bytes = match response {
            Response::Served(ResponseBody::Value(value)) => encode_bulk_string(&value),
            // A file server's reply to a write has no value; that of a RESP2 node has one.
            Response::Served(ResponseBody::Size(_) | ResponseBody::Entries(_)) => {
                encode_bulk_string(b"")
            }
            Response::Served(ResponseBody::NotFound) => b"-ERR not found\r\n".to_vec(),
            Response::Rejected { retry_after } => encode_rejection(retry_after),
            Response::Invalid(error) => format!("-ERR {error}\r\n").into_bytes(),
            Response::Failed => b"-ERR failed\r\n".to_vec(),
            Response::TimedOut => b"-ERR timed out\r\n".to_vec(),
        };
        out.push(EncodedReply { slot, bytes });
    }

    fn overloaded_reply(&self) -> Vec<u8> {
        encode_rejection(OVERLOADED_RETRY_AFTER)
    }

    fn timeout_reply(&self) -> Vec<u8> {
        b"-ERR the command was not whole in time\r\n".to_vec()
    }

    fn idle_timeout(&self) -> Micros {
        IDLE_TIMEOUT
    }
}
