//! SFTP commands towards file servers, over a plain connection without the SSH transport.
//!
//! The path of an object is `/VOLUME/OBJECT`, with the volume's id as 16 hex digits. One request takes a short
//! sequence of commands, each sent after the reply to the previous one. A write may have had an effect as soon
//! as the first byte of its OPEN is sent, because OPEN creates or truncates the file.

mod stage;

use super::{NodeProtocol, ProtocolError};
use crate::dispatcher::{AttemptResult, Operation, StorageRequest};
use crate::hex_id::HexId;
use crate::sftp_packet::{
    decode_packet, open_flags, packet_type, DecodedPacket, MalformedPacket, Packet, VERSION,
};
use stage::Stage;

/// Flags of OPEN for a write, which replaces the whole object.
const REPLACE_FLAGS: u32 = open_flags::WRITE | open_flags::CREAT | open_flags::TRUNC;

/// The protocol state of one connection to a file server.
pub struct SftpProtocol {
    /// The reply that the connection waits for.
    stage: Stage,
    /// The id of the last command; a reply with another id belongs to an earlier request and is ignored.
    last_id: u32,
    /// The id of the last CLOSE that was sent after its request was complete; its reply is ignored.
    ignored_id: Option<u32>,
    /// Longest accepted object in bytes.
    max_value_length: usize,
}

impl From<MalformedPacket> for ProtocolError {
    fn from(_: MalformedPacket) -> Self {
        ProtocolError
    }
}

impl SftpProtocol {
    /// Creates the state of a new connection that accepts objects of up to `max_value_length` bytes.
    #[must_use]
    pub fn new(max_value_length: usize) -> SftpProtocol {
        SftpProtocol {
            stage: Stage::AwaitingVersion,
            last_id: 0,
            ignored_id: None,
            max_value_length,
        }
    }

    /// Appends a command with a new id to `out`; `append_fields` adds the fields after the id.
    fn send_command(
        &mut self,
        type_byte: u8,
        out: &mut Vec<u8>,
        append_fields: impl FnOnce(Packet) -> Packet,
    ) {
        self.last_id = self.last_id.wrapping_add(1);
        let command = append_fields(Packet::with_id(type_byte, self.last_id));
        out.extend(command.finish());
    }

    /// Appends OPEN for a path, with flags of [`open_flags`] and no attributes.
    fn send_open(&mut self, path: &str, flags: u32, out: &mut Vec<u8>) {
        self.send_command(packet_type::OPEN, out, |packet| {
            packet.string(path).u32(flags).u32(0)
        });
    }

    /// Decodes the next packet of `input`, moves `position` past it, and handles it if it is the reply that the
    /// current stage waits for.
    fn decode_next(
        &mut self,
        input: &[u8],
        position: &mut usize,
        out: &mut Vec<u8>,
    ) -> Result<Progress, ProtocolError> {
        let Some(packet) = decode_packet(input, position)? else {
            return Ok(Progress::InputConsumed);
        };
        let DecodedPacket {
            type_byte,
            mut fields,
        } = packet;
        if matches!(self.stage, Stage::AwaitingVersion) {
            if type_byte != packet_type::VERSION || fields.u32()? < VERSION {
                return Err(ProtocolError);
            }
            self.stage = Stage::Idle;
            return Ok(Progress::PacketConsumed);
        }
        let id = fields.u32()?;
        if self.ignored_id == Some(id) {
            self.ignored_id = None;
            return Ok(Progress::PacketConsumed);
        }
        if matches!(self.stage, Stage::Idle) {
            return Err(ProtocolError);
        }
        if id != self.last_id {
            return Ok(Progress::PacketConsumed);
        }
        let result = self.handle_reply(type_byte, fields, out)?;
        Ok(result.map_or(Progress::PacketConsumed, Progress::RequestCompleted))
    }
}

/// The result of decoding the next packet.
enum Progress {
    /// The input holds no further complete packet.
    InputConsumed,
    /// A packet was consumed; a request in flight is not complete yet.
    PacketConsumed,
    /// The request in flight is complete.
    RequestCompleted(AttemptResult),
}

impl NodeProtocol for SftpProtocol {
    fn start_handshake(&mut self, out: &mut Vec<u8>) {
        out.extend(Packet::new(packet_type::INIT).u32(VERSION).finish());
    }

    fn ready(&self) -> bool {
        !matches!(self.stage, Stage::AwaitingVersion)
    }

    fn encode_request(
        &mut self,
        request: &StorageRequest,
        _wait_ms: i64,
        out: &mut Vec<u8>,
    ) -> usize {
        let start = out.len();
        let directory = format!("/{}", HexId(request.volume));
        let path = match &request.object_name {
            Some(name) => format!("{directory}/{name}"),
            None => format!("{directory}/{}", HexId(request.object)),
        };
        match request.operation {
            Operation::Read => self.send_open(&path, open_flags::READ, out),
            Operation::Write => self.send_open(&path, REPLACE_FLAGS, out),
            Operation::Stat => {
                self.send_command(packet_type::STAT, out, |packet| packet.string(path));
            }
            Operation::List => {
                self.send_command(packet_type::OPENDIR, out, |packet| packet.string(directory));
            }
        }
        self.stage = Stage::after_first_command(request);
        if request.operation == Operation::Write {
            // Any byte of OPEN counts, see the module's documentation.
            return 0;
        }
        out.len() - start - 1
    }

    fn buffered_bytes(&self) -> usize {
        match &self.stage {
            Stage::Reading { value, .. } => value.len(),
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
                Progress::PacketConsumed => {}
                Progress::InputConsumed => break None,
                Progress::RequestCompleted(result) => {
                    // Skips a packet that arrived together with the last reply: it belongs to no request.
                    decode_packet(input, &mut position)?;
                    break Some(result);
                }
            }
        };
        input.drain(..position);
        Ok(result)
    }
}
