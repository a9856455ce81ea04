//! Protocol state of one connection, and encoding of requests.

use super::duplicate_replies::{BarrierVerdict, DuplicateReplies, Verdict};
use super::reply::{
    declared_value_length, parse_reply, ReplyContent, BARRIER_REPLY, MAX_REPORT_BYTES,
};
use crate::node_protocol::{NodeProtocol, ProtocolError};
use crate::resp_bulk_string::append_bulk_string;
use crate::resp_wire_names::command;
use crate::storage_request::{AttemptResult, Operation, RequestParameters, StorageRequest};

/// Minimum time limit that is sent to a node, in milliseconds.
const MIN_TIME_LIMIT_MS: i64 = 1;

/// The protocol state of one connection to a RESP2 node.
pub struct RespProtocol {
    /// Whether a request is in flight.
    is_awaiting_reply: bool,
    /// Recognizes duplicates of earlier replies.
    duplicates: DuplicateReplies,
    /// Maximum length of a value in bytes.
    max_value_length: usize,
    /// Declared length in bytes of the value that is being received; 0 if it is not known.
    declared_length: usize,
}

impl RespProtocol {
    /// Creates the state of a new connection that accepts values of up to `max_value_length`
    /// bytes.
    #[must_use]
    pub fn new(max_value_length: usize) -> RespProtocol {
        RespProtocol {
            is_awaiting_reply: false,
            duplicates: DuplicateReplies::default(),
            max_value_length,
            declared_length: 0,
        }
    }

    /// Handles the next reply. Returns the result of the request in flight once it is known, and
    /// `None` until then.
    fn handle_reply(
        &mut self,
        content: ReplyContent,
        out: &mut Vec<u8>,
    ) -> Result<Option<AttemptResult>, ProtocolError> {
        let result = match content {
            ReplyContent::Barrier => match self.duplicates.finish_barrier() {
                BarrierVerdict::Use(held) => held,
                BarrierVerdict::Skip => return Ok(None),
                BarrierVerdict::Unexpected => return Err(ProtocolError::UnexpectedType),
            },
            ReplyContent::Result(result) => match self.duplicates.judge(result) {
                Verdict::Use(result) => result,
                Verdict::HoldOnly => return Ok(None),
                Verdict::SendBarrier => {
                    log::debug!("a reply equals an earlier one: sending a barrier");
                    append_command(command::BARRIER, out);
                    return Ok(None);
                }
            },
        };
        self.is_awaiting_reply = false;
        Ok(Some(result))
    }

    /// Returns whether input that arrives without a request is nothing, or the beginning of the
    /// reply to a barrier.
    fn may_be_barrier_reply(&self, input: &[u8]) -> bool {
        input.is_empty()
            || self.duplicates.is_barrier_outstanding() && BARRIER_REPLY.starts_with(input)
    }

    /// Returns whether `buffered` bytes of an incomplete reply exceed the maximum length of a
    /// reply.
    fn exceeds_max_reply_length(&self, buffered: usize) -> bool {
        buffered > self.max_value_length + 2 * MAX_REPORT_BYTES
    }
}

/// Encodes the client's parameter list, with the node's time limit as the timeout.
fn encode_parameters(parameters: &RequestParameters, time_limit_ms: i64) -> String {
    let RequestParameters {
        before_timeout,
        after_timeout,
    } = parameters;
    let timeout_ms = time_limit_ms.max(MIN_TIME_LIMIT_MS);
    format!("{before_timeout}{timeout_ms}{after_timeout}")
}

/// Appends a command to `out` as an array of bulk strings.
fn append_command(arguments: &[&[u8]], out: &mut Vec<u8>) {
    out.extend_from_slice(format!("*{}\r\n", arguments.len()).as_bytes());
    for argument in arguments {
        append_bulk_string(argument, out);
    }
}

impl NodeProtocol for RespProtocol {
    fn start_handshake(&mut self, _out: &mut Vec<u8>) {}

    fn is_ready(&self) -> bool {
        true
    }

    fn encode_request(
        &mut self,
        request: &StorageRequest,
        time_limit_ms: i64,
        out: &mut Vec<u8>,
    ) -> usize {
        self.is_awaiting_reply = true;
        let start = out.len();
        let object = request.object_digits.as_bytes();
        let id = request.client_request_id.as_bytes();
        let parameters = encode_parameters(&request.parameters, time_limit_ms);
        let parameters = parameters.as_bytes();
        if request.operation == Operation::Write {
            append_command(
                &[command::WRITE, object, id, parameters, &request.body],
                out,
            );
        } else {
            append_command(&[command::READ, object, id, parameters], out);
        }
        // A node executes a command only after its last byte has arrived.
        out.len() - start - 1
    }

    fn counted_response_bytes(&self) -> usize {
        self.declared_length + self.duplicates.held_bytes()
    }

    fn decode(
        &mut self,
        input: &mut Vec<u8>,
        out: &mut Vec<u8>,
    ) -> Result<Option<AttemptResult>, ProtocolError> {
        if !self.is_awaiting_reply && !self.may_be_barrier_reply(input) {
            return Err(ProtocolError::UnsolicitedReply);
        }
        while let Some(reply) = parse_reply(input, self.max_value_length)? {
            self.declared_length = 0;
            input.drain(..reply.length);
            if let Some(result) = self.handle_reply(reply.content, out)? {
                return Ok(Some(result));
            }
        }
        if self.exceeds_max_reply_length(input.len()) {
            return Err(ProtocolError::ReplyTooLong);
        }
        self.declared_length = declared_value_length(input);
        Ok(None)
    }
}
