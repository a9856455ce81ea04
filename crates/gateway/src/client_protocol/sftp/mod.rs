//! SFTP commands from clients, over a plain connection without the SSH transport.
//!
//! Paths are `/VOLUME/OBJECT`. OPEN fetches the whole object, and each READ returns a part of it. An upload is
//! buffered and CLOSE submits it as one write, so a client that disconnects earlier causes no request. The first
//! READDIR of a volume lists every shard, and is answered when all of them have responded.

mod command;
mod directory;
mod error;
mod handle;
mod path;
mod response;
mod shared;

pub use shared::SftpShared;

use super::{ClientProtocol, CommandStep, EncodedReply};
use crate::sftp_packet::{decode_packet, packet_type, DecodedPacket, Fields, Packet, VERSION};
use crate::storage_request::{Response, SlotNumber};
use command::CommandOutcome;
use handle::HandleTable;
use io_scheduler::Micros;
use response::PendingCommand;
use std::collections::BTreeMap;
use std::rc::Rc;

/// Idle time after which a session is closed, in microseconds. It is longer than that of RESP clients, because
/// SFTP commands may be typed by a person.
const IDLE_TIMEOUT: Micros = 300_000_000;

/// The protocol state of one client connection.
pub struct SftpProtocol {
    /// State shared by all clients of the listener.
    shared: Rc<SftpShared>,
    /// Whether INIT was answered with VERSION.
    initialized: bool,
    /// The client's open files and directories.
    handles: HandleTable,
    /// Commands whose requests are in flight, by slot.
    pending: BTreeMap<SlotNumber, PendingCommand>,
}

impl SftpProtocol {
    /// Creates the state of a new connection.
    #[must_use]
    pub fn new(shared: Rc<SftpShared>) -> SftpProtocol {
        let handles = HandleTable::new(shared.clone());
        SftpProtocol {
            shared,
            initialized: false,
            handles,
            pending: BTreeMap::new(),
        }
    }

    /// Answers the first packet, which must be INIT with a version; any other closes the connection.
    fn initialize(&mut self, type_byte: u8, mut fields: Fields<'_>) -> CommandStep {
        self.initialized = type_byte == packet_type::INIT && fields.u32().is_ok();
        if !self.initialized {
            return CommandStep::Close(Vec::new());
        }
        CommandStep::Reply(Packet::new(packet_type::VERSION).u32(VERSION).finish())
    }
}

impl ClientProtocol for SftpProtocol {
    fn parse_command(
        &mut self,
        input: &[u8],
        position: &mut usize,
        slot: SlotNumber,
        _ready: bool,
    ) -> CommandStep {
        let DecodedPacket {
            type_byte,
            mut fields,
        } = match decode_packet(input, position) {
            Ok(Some(packet)) => packet,
            Ok(None) => return CommandStep::Incomplete,
            Err(_) => return CommandStep::Close(Vec::new()),
        };
        if !self.initialized {
            return self.initialize(type_byte, fields);
        }
        let Ok(request_id) = fields.u32() else {
            return CommandStep::Close(Vec::new());
        };
        match self.run_command(type_byte, request_id, fields) {
            Ok(CommandOutcome::Reply(reply)) => CommandStep::Reply(reply),
            Ok(CommandOutcome::Submit {
                requests,
                operation,
            }) => {
                self.pending.insert(
                    slot,
                    PendingCommand {
                        request_id,
                        operation,
                    },
                );
                CommandStep::Submit(requests)
            }
            Err(error) => CommandStep::Reply(error.to_status(request_id)),
        }
    }

    fn encode_response(
        &mut self,
        slot: SlotNumber,
        response: Response,
        out: &mut Vec<EncodedReply>,
    ) {
        if let Some(reply) = self.handle_response(slot, response) {
            out.push(EncodedReply { slot, bytes: reply });
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

    fn is_mid_command(&self) -> bool {
        self.handles.has_upload()
    }
}
