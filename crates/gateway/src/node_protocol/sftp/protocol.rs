//! Protocol state of one connection: starts requests and decodes replies.

use super::command_writer::{CommandIds, CommandWriter};
use super::connection_state::ConnectionState;
use super::reply::RequestProgress;
use crate::node_protocol::{NodeProtocol, ProtocolError};
use crate::sftp_packet::{decode_packet, DecodedPacket, Packet, PacketType, VERSION};
use crate::storage_request::{AttemptResult, Operation, StorageRequest};

/// The protocol state of one connection to a file server.
pub struct SftpProtocol {
    /// What the connection waits for.
    state: ConnectionState,
    /// Request ids of the commands sent so far.
    command_ids: CommandIds,
    /// Maximum size of an object in bytes.
    max_value_length: usize,
}

/// The result of decoding the next packet.
enum DecodeStep {
    /// The input contains no further complete packet.
    InputConsumed,
    /// A packet was consumed, but no request is complete yet.
    PacketConsumed,
    /// The request in flight is complete.
    RequestCompleted(AttemptResult),
}

impl SftpProtocol {
    /// Creates the state of a new connection that accepts objects of up to `max_value_length`
    /// bytes.
    #[must_use]
    pub fn new(max_value_length: usize) -> SftpProtocol {
        SftpProtocol {
            state: ConnectionState::AwaitingVersion,
            command_ids: CommandIds::new(),
            max_value_length,
        }
    }

    /// Decodes and handles the next packet of `input`, and advances `position` past it.
    fn decode_next(
        &mut self,
        input: &[u8],
        position: &mut usize,
        out: &mut Vec<u8>,
    ) -> Result<DecodeStep, ProtocolError> {
        let Some(packet) = decode_packet(input, position)? else {
            return Ok(DecodeStep::InputConsumed);
        };
        if !self.is_ready() {
            self.finish_handshake(packet)?;
            return Ok(DecodeStep::PacketConsumed);
        }
        match self.handle_reply(packet, out)? {
            Some(result) => Ok(DecodeStep::RequestCompleted(result)),
            None => Ok(DecodeStep::PacketConsumed),
        }
    }

    /// Handles the first packet of the server, which must be VERSION.
    fn finish_handshake(&mut self, packet: DecodedPacket<'_>) -> Result<(), ProtocolError> {
        let DecodedPacket {
            packet_type,
            mut fields,
        } = packet;
        if packet_type != PacketType::VERSION {
            return Err(ProtocolError::UnexpectedPacket);
        }
        if fields.u32()? < VERSION {
            return Err(ProtocolError::UnsupportedVersion);
        }
        self.state = ConnectionState::Idle;
        Ok(())
    }

    /// Handles a reply. Replies to commands other than the last one are ignored. Returns the result
    /// of the request in flight once it is complete.
    fn handle_reply(
        &mut self,
        packet: DecodedPacket<'_>,
        out: &mut Vec<u8>,
    ) -> Result<Option<AttemptResult>, ProtocolError> {
        let DecodedPacket {
            packet_type,
            mut fields,
        } = packet;
        let id = fields.request_id()?;
        if self.command_ids.take_ignored(id) {
            return Ok(None);
        }
        if matches!(self.state, ConnectionState::Idle) {
            return Err(ProtocolError::UnsolicitedReply);
        }
        if !self.command_ids.is_last(id) {
            return Ok(None);
        }
        let state = std::mem::replace(&mut self.state, ConnectionState::Idle);
        let mut commands = CommandWriter::new(&mut self.command_ids, out);
        match state.handle_reply(packet_type, fields, self.max_value_length, &mut commands)? {
            RequestProgress::Continues(state) => {
                self.state = state;
                Ok(None)
            }
            RequestProgress::Completed(result) => Ok(Some(result)),
        }
    }
}

impl NodeProtocol for SftpProtocol {
    fn start_handshake(&mut self, out: &mut Vec<u8>) {
        out.extend(Packet::new(PacketType::INIT).u32(VERSION).finish());
    }

    fn is_ready(&self) -> bool {
        !matches!(self.state, ConnectionState::AwaitingVersion)
    }

    fn encode_request(
        &mut self,
        request: &StorageRequest,
        _time_limit_ms: i64,
        out: &mut Vec<u8>,
    ) -> usize {
        let start = out.len();
        let mut commands = CommandWriter::new(&mut self.command_ids, out);
        self.state = ConnectionState::start(request, &mut commands);
        if request.operation == Operation::Write {
            // The file may be created or truncated as soon as the first byte of OPEN is sent; see
            // the module documentation.
            return 0;
        }
        out.len() - start - 1
    }

    fn counted_response_bytes(&self) -> usize {
        match &self.state {
            ConnectionState::Reading { value, .. } => value.len(),
            _ => 0,
        }
    }

    fn decode(
        &mut self,
        input: &mut Vec<u8>,
        out: &mut Vec<u8>,
    ) -> Result<Option<AttemptResult>, ProtocolError> {
        let mut position = 0;
        let result = loop {
            match self.decode_next(input, &mut position, out)? {
                DecodeStep::PacketConsumed => {}
                DecodeStep::InputConsumed => break None,
                DecodeStep::RequestCompleted(result) => {
                    // Skips one complete packet that arrived together with the last reply, whatever
                    // its type. A packet that arrives later, but before the next request, is an
                    // error unless it is the ignored reply to a CLOSE.
                    decode_packet(input, &mut position)?;
                    break Some(result);
                }
            }
        };
        input.drain(..position);
        Ok(result)
    }
}
