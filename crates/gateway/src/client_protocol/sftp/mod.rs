//! SFTP-style file commands from clients, without the SSH transport.
//!
//! Paths are `/VOLUME/OBJECT`. An object is fetched once, at OPEN; an upload is buffered and becomes one
//! write at CLOSE, so a client that disconnects before has caused no request. A listing asks every shard and
//! is answered once.

mod command;
mod directory;
mod error;
mod handle;
mod path;
mod response;
mod shared;

pub use path::object_of;
pub use shared::SftpShared;

use super::{ClientProtocol, CommandStep, EncodedReply};
use crate::dispatcher::Response;
use crate::sftp_packet::{decode_packet, kind, DecodedPacket, Fields, Packet, VERSION};
use command::CommandOutcome;
use handle::HandleTable;
use io_scheduler::Micros;
use response::PendingCommand;
use std::collections::BTreeMap;
use std::rc::Rc;

/// A session without a command for so long is closed. It is longer than for programs, as people type commands.
const IDLE_TIMEOUT: Micros = 300_000_000;

/// One client's session.
pub struct SftpProtocol {
    shared: Rc<SftpShared>,
    /// Whether INIT was answered with VERSION.
    initialized: bool,
    handles: HandleTable,
    /// Commands whose requests are in flight, by slot.
    pending: BTreeMap<u64, PendingCommand>,
}

impl SftpProtocol {
    /// A new session.
    #[must_use]
    pub fn new(shared: Rc<SftpShared>) -> SftpProtocol {
        let handles = HandleTable::new(shared.clone());
        SftpProtocol { shared, initialized: false, handles, pending: BTreeMap::new() }
    }

    /// Answers the first packet, which must be INIT with a version.
    fn initialize(&mut self, kind: u8, mut fields: Fields<'_>) -> CommandStep {
        self.initialized = kind == kind::INIT && fields.u32().is_ok();
        if !self.initialized {
            return CommandStep::Close(Vec::new());
        }
        CommandStep::Reply(Packet::new(kind::VERSION).u32(VERSION).done())
    }
}

impl ClientProtocol for SftpProtocol {
    fn parse_command(&mut self, input: &[u8], position: &mut usize, slot: u64, _ready: bool) -> CommandStep {
        let DecodedPacket { kind, mut fields } = match decode_packet(input, position) {
            Ok(Some(packet)) => packet,
            Ok(None) => return CommandStep::Incomplete,
            Err(_) => return CommandStep::Close(Vec::new()),
        };
        if !self.initialized {
            return self.initialize(kind, fields);
        }
        let Ok(request_id) = fields.u32() else { return CommandStep::Close(Vec::new()) };
        match self.run_command(kind, request_id, fields) {
            Ok(CommandOutcome::Reply(reply)) => CommandStep::Reply(reply),
            Ok(CommandOutcome::Submit { requests, operation }) => {
                self.pending.insert(slot, PendingCommand { request_id, operation });
                CommandStep::Submit(requests)
            }
            Err(error) => CommandStep::Reply(error.to_status(request_id)),
        }
    }

    fn encode_response(&mut self, slot: u64, response: Response, out: &mut Vec<EncodedReply>) {
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
