//! SFTP-style file commands towards file servers.
//!
//! Objects are at `/VOLUME/OBJECT`, the volume as 16 hex digits. One request is a short sequence of commands,
//! each sent when the reply to the one before has arrived. A write may have had an effect as soon as a byte of
//! its OPEN has left, as that creates the file.

mod stage;

use super::{NodeProtocol, ProtocolError};
use crate::dispatcher::{AttemptResult, Operation, StorageRequest};
use crate::sftp_packet::{decode_packet, kind, open, DecodedPacket, Malformed, Packet, VERSION};
use stage::Stage;

/// The protocol state of one connection to a file server.
pub struct SftpProtocol {
    stage: Stage,
    /// The id of the last command; replies to other ids are left over from earlier requests.
    last_id: u32,
    /// The id of the last CLOSE whose reply is ignored.
    ignored_id: Option<u32>,
    /// Longest accepted object in bytes.
    max_value_length: usize,
}

impl From<Malformed> for ProtocolError {
    fn from(_: Malformed) -> Self {
        ProtocolError
    }
}

impl SftpProtocol {
    /// A new connection that accepts objects of up to `max_value_length` bytes.
    #[must_use]
    pub fn new(max_value_length: usize) -> SftpProtocol {
        SftpProtocol { stage: Stage::AwaitingVersion, last_id: 0, ignored_id: None, max_value_length }
    }

    /// Sends a command of a packet type under a new id; `append_fields` adds its fields.
    fn send_command(&mut self, kind: u8, out: &mut Vec<u8>, append_fields: impl FnOnce(Packet) -> Packet) {
        self.last_id = self.last_id.wrapping_add(1);
        let command = append_fields(Packet::with_id(kind, self.last_id));
        out.extend(command.done());
    }

    /// Sends OPEN for a path, with flags of [`open`] and no attributes.
    fn send_open(&mut self, path: &str, flags: u32, out: &mut Vec<u8>) {
        self.send_command(kind::OPEN, out, |open| open.string(path).u32(flags).u32(0));
    }

    /// Decodes the next reply that belongs to the request in flight, with `position` moved past it, and
    /// passes it to the current stage.
    fn decode_next(
        &mut self,
        input: &[u8],
        position: &mut usize,
        out: &mut Vec<u8>,
    ) -> Result<Progress, ProtocolError> {
        let Some(packet) = decode_packet(input, position)? else { return Ok(Progress::InputConsumed) };
        let DecodedPacket { kind, mut fields } = packet;
        if matches!(self.stage, Stage::AwaitingVersion) {
            if kind != kind::VERSION || fields.u32()? < VERSION {
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
        let result = self.handle_reply(kind, fields, out)?;
        Ok(result.map_or(Progress::PacketConsumed, Progress::RequestCompleted))
    }
}

/// What decoding one packet came to.
enum Progress {
    /// The input holds no further complete packet.
    InputConsumed,
    /// A packet was taken; the request, if any, goes on.
    PacketConsumed,
    /// The request in flight is complete.
    RequestCompleted(AttemptResult),
}

impl NodeProtocol for SftpProtocol {
    fn start_handshake(&mut self, out: &mut Vec<u8>) {
        out.extend(Packet::new(kind::INIT).u32(VERSION).done());
    }

    fn ready(&self) -> bool {
        !matches!(self.stage, Stage::AwaitingVersion)
    }

    fn encode_request(&mut self, request: &StorageRequest, _wait_ms: i64, out: &mut Vec<u8>) -> usize {
        let start = out.len();
        let directory = format!("/{:016x}", request.volume);
        let path = match &request.object_name {
            Some(name) => format!("{directory}/{name}"),
            None => format!("{directory}/{:016x}", request.object),
        };
        match request.operation {
            Operation::Read => self.send_open(&path, open::READ, out),
            Operation::Write => self.send_open(&path, open::WRITE | open::CREAT | open::TRUNC, out),
            Operation::Stat => self.send_command(kind::STAT, out, |stat| stat.string(path)),
            Operation::List => self.send_command(kind::OPENDIR, out, |opendir| opendir.string(directory)),
        }
        self.stage = Stage::after_first_command(request);
        if request.operation == Operation::Write {
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
                    // A packet that directly follows the last reply belongs to no request: it is skipped.
                    decode_packet(input, &mut position)?;
                    break Some(result);
                }
            }
        };
        input.drain(..position);
        Ok(result)
    }
}
