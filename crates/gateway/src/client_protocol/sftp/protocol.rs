//! Protocol of one SFTP client connection: the handshake, and the commands whose requests are in
//! flight.

use super::commands::CommandOutcome;
use super::pending::PendingCommand;
use super::responses::CommandProgress;
use super::session::Session;
use super::shared::SftpListenerState;
use crate::client_protocol::{ClientProtocol, EncodedReply, ParsedCommand};
use crate::sftp_packet::{
    decode_packet, DecodedPacket, Fields, Packet, PacketType, RequestId, VERSION,
};
use crate::storage_request::{CommandNumber, Response};
use io_scheduler::Micros;
use std::collections::BTreeMap;
use std::rc::Rc;

/// Idle time after which a connection is closed, in microseconds. It is longer than for RESP
/// clients, because a person may be typing the SFTP commands.
const IDLE_TIMEOUT: Micros = 300_000_000;

/// The protocol state of one client connection.
pub struct SftpProtocol {
    /// Whether the handshake is complete, that is, INIT was answered with VERSION.
    is_initialized: bool,
    /// State of the client between commands.
    session: Session,
    /// Commands whose requests are in flight, by command number.
    pending: BTreeMap<CommandNumber, PendingCommand>,
}

impl SftpProtocol {
    /// Creates the state of a new connection.
    #[must_use]
    pub fn new(shared: Rc<SftpListenerState>) -> SftpProtocol {
        SftpProtocol {
            is_initialized: false,
            session: Session::new(shared),
            pending: BTreeMap::new(),
        }
    }

    /// Handles the first packet. Replies with VERSION if it is INIT with a version; any other
    /// packet closes the connection.
    fn initialize(&mut self, packet: DecodedPacket<'_>) -> ParsedCommand {
        let DecodedPacket {
            packet_type,
            mut fields,
        } = packet;
        self.is_initialized = packet_type == PacketType::INIT && fields.u32().is_ok();
        if !self.is_initialized {
            return ParsedCommand::Close(Vec::new());
        }
        ParsedCommand::Reply(Packet::new(PacketType::VERSION).u32(VERSION).finish())
    }

    /// Executes the command with this number. `fields` contains the fields after the request id.
    fn run_command(
        &mut self,
        command_number: CommandNumber,
        packet_type: PacketType,
        request_id: RequestId,
        fields: Fields<'_>,
    ) -> ParsedCommand {
        match self.session.run_command(packet_type, request_id, fields) {
            Ok(CommandOutcome::Reply(reply)) => ParsedCommand::Reply(reply),
            Ok(CommandOutcome::Submit {
                requests,
                operation,
            }) => {
                let command = PendingCommand {
                    request_id,
                    operation,
                };
                self.pending.insert(command_number, command);
                ParsedCommand::Submit(requests)
            }
            Err(error) => ParsedCommand::Reply(error.to_status(request_id)),
        }
    }
}

impl ClientProtocol for SftpProtocol {
    fn parse_command(
        &mut self,
        input: &[u8],
        position: &mut usize,
        command_number: CommandNumber,
        _has_node_in_service: bool,
    ) -> ParsedCommand {
        let packet = match decode_packet(input, position) {
            Ok(Some(packet)) => packet,
            Ok(None) => return ParsedCommand::Incomplete,
            Err(_) => return ParsedCommand::Close(Vec::new()),
        };
        if !self.is_initialized {
            return self.initialize(packet);
        }
        let DecodedPacket {
            packet_type,
            mut fields,
        } = packet;
        match fields.request_id() {
            Ok(request_id) => self.run_command(command_number, packet_type, request_id, fields),
            Err(_) => ParsedCommand::Close(Vec::new()),
        }
    }

    fn encode_response(
        &mut self,
        command_number: CommandNumber,
        response: Response,
        out: &mut Vec<EncodedReply>,
    ) {
        let Some(command) = self.pending.remove(&command_number) else {
            return;
        };
        match self.session.handle_response(command, response) {
            CommandProgress::Completed(bytes) => out.push(EncodedReply {
                command_number,
                bytes,
            }),
            CommandProgress::Pending(command) => {
                self.pending.insert(command_number, command);
            }
        }
    }

    fn overloaded_reply(&self) -> Vec<u8> {
        Vec::new()
    }

    fn timeout_reply(&self) -> Vec<u8> {
        Vec::new()
    }

    fn idle_timeout(&self) -> Micros {
        IDLE_TIMEOUT
    }

    fn has_open_upload(&self) -> bool {
        self.session.handles.has_upload()
    }
}
