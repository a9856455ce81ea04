//! RESP2 towards storage nodes: `IO.IN` reads and `IO.OUT` writes.

mod reply;

use super::{NodeProtocol, ProtocolError};
use crate::dispatcher::{AttemptResult, Operation, RequestParameters, StorageRequest};
use crate::hex_id::HexId;
use crate::resp_bulk_string::append_bulk_string;
use reply::{announced_value_length, parse_reply, MAX_OVERHEAD_BYTES};

/// The protocol state of one connection to a RESP2 node.
pub struct RespProtocol {
    /// Whether a request is in flight.
    awaiting_reply: bool,
    /// Longest accepted value in bytes.
    max_value_length: usize,
    /// Announced length in bytes of the value that is being received; 0 if it is not known.
    announced_length: usize,
}

impl RespProtocol {
    /// Creates the state of a new connection that accepts values of up to `max_value_length` bytes.
    #[must_use]
    pub fn new(max_value_length: usize) -> RespProtocol {
        RespProtocol {
            awaiting_reply: false,
            max_value_length,
            announced_length: 0,
        }
    }

    /// Whether `buffered` bytes of an incomplete reply are more than a complete reply can have.
    fn exceeds_longest_reply(&self, buffered: usize) -> bool {
        buffered > self.max_value_length + 2 * MAX_OVERHEAD_BYTES
    }
}

impl NodeProtocol for RespProtocol {
    fn start_handshake(&mut self, _out: &mut Vec<u8>) {}

    fn ready(&self) -> bool {
        true
    }

    fn encode_request(
        &mut self,
        request: &StorageRequest,
        wait_ms: i64,
        out: &mut Vec<u8>,
    ) -> usize {
        self.awaiting_reply = true;
        let start = out.len();
        let is_write = request.operation == Operation::Write;
        let (array_header, command): (&[u8], &[u8]) = if is_write {
            (b"*5\r\n", b"IO.OUT")
        } else {
            (b"*4\r\n", b"IO.IN")
        };
        out.extend_from_slice(array_header);
        append_bulk_string(command, out);
        append_bulk_string(HexId(request.object.0).to_string().as_bytes(), out);
        append_bulk_string(request.client_request_id.as_bytes(), out);
        let RequestParameters {
            before_timeout,
            after_timeout,
        } = &request.parameters;
        append_bulk_string(
            format!("{before_timeout}{}{after_timeout}", wait_ms.max(1)).as_bytes(),
            out,
        );
        if is_write {
            append_bulk_string(&request.body, out);
        }
        // A node executes a command only after its last byte has arrived.
        out.len() - start - 1
    }

    fn buffered_bytes(&self) -> usize {
        self.announced_length
    }

    fn decode(
        &mut self,
        input: &mut Vec<u8>,
        _out: &mut Vec<u8>,
    ) -> Result<Option<AttemptResult>, ProtocolError> {
        if !self.awaiting_reply && !input.is_empty() {
            return Err(ProtocolError);
        }
        let Some(reply) = parse_reply(input, self.max_value_length)? else {
            if self.exceeds_longest_reply(input.len()) {
                return Err(ProtocolError);
            }
            self.announced_length = announced_value_length(input);
            return Ok(None);
        };
        self.awaiting_reply = false;
        self.announced_length = 0;
        input.drain(..reply.length);
        Ok(Some(reply.result))
    }
}
