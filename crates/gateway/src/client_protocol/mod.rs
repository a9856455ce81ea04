//! The protocols towards clients: parsing of commands into requests, and encoding of responses
//! into replies.
//!
//! An implementation holds the protocol state of one connection and does no I/O: it reads from the
//! connection's input buffer and returns the bytes to send.

pub mod resp;
pub mod sftp;

use crate::storage_request::{Response, SlotNumber, StorageRequest};
use io_scheduler::Micros;

/// The result of parsing the next command of a client.
#[derive(Debug)]
pub enum CommandStep {
    /// The command is not complete yet; nothing was consumed.
    Incomplete,
    /// The command is answered immediately with these bytes.
    Reply(Vec<u8>),
    /// The command is answered with one reply after these requests have been responded to.
    Submit(Vec<StorageRequest>),
    /// The input is invalid: the connection is closed after these bytes have been sent.
    Close(Vec<u8>),
}

/// The reply to one command of a connection.
#[derive(Debug)]
pub struct EncodedReply {
    /// Number of the command on its connection; replies are sent in this order.
    pub slot: SlotNumber,
    /// The bytes to send.
    pub bytes: Vec<u8>,
}

/// A client's protocol on one connection.
pub trait ClientProtocol {
    /// Parses the next command of `input`, which starts at `position`, and moves `position` past
    /// it unless it is incomplete or invalid.
    ///
    /// `slot` is the number of the command on its connection; responses to its requests are passed
    /// to [`encode_response`](Self::encode_response) with the same number. `ready` is whether the
    /// gateway can serve requests, for commands that query it.
    fn parse_command(
        &mut self,
        input: &[u8],
        position: &mut usize,
        slot: SlotNumber,
        ready: bool,
    ) -> CommandStep;

    /// Handles the response to a request of the command at `slot`. Called at most once for each
    /// submitted request, in any order. When the command can be answered, its slot and encoded
    /// reply are appended to `out`.
    ///
    /// A command may be answered before all its requests are: once one part of a listing has
    /// failed, the responses to the others are not awaited any more. One that still arrives is
    /// ignored.
    fn encode_response(
        &mut self,
        slot: SlotNumber,
        response: Response,
        out: &mut Vec<EncodedReply>,
    );

    /// The bytes to send before closing a connection whose incomplete command exceeds the
    /// available memory. The command was not executed.
    fn overloaded_reply(&self) -> Vec<u8>;

    /// The bytes to send before closing a connection whose command was not received completely in
    /// time. The command was not executed.
    fn timeout_reply(&self) -> Vec<u8>;

    /// Idle time after a command until the connection is closed, in microseconds.
    fn idle_timeout(&self) -> Micros;

    /// Whether an upload is open: the client has opened an object for writing and not closed it,
    /// so that nothing of it is stored yet. Such a connection is not closed as idle.
    ///
    /// Other state between commands does not count. Handles open for reading or listing are lost
    /// when the connection is closed as idle; the client can open them again.
    fn has_open_upload(&self) -> bool {
        false
    }
}
