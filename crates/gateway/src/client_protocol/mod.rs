//! The protocols towards clients: commands are parsed into requests, responses encoded into replies.
//!
//! An implementation holds the protocol state of one connection and does no I/O: it reads from the
//! connection's input buffer and returns the bytes to send.

pub mod resp;
pub mod sftp;

use crate::dispatcher::{Response, StorageRequest};
use io_scheduler::Micros;

/// What the next command of a client leads to.
#[derive(Debug)]
pub enum CommandStep {
    /// The command is not complete yet; nothing was consumed.
    Incomplete,
    /// The command is answered at once, with these bytes.
    Reply(Vec<u8>),
    /// The command needs these requests; its one reply follows from their responses.
    Submit(Vec<StorageRequest>),
    /// The input cannot be understood: the connection is closed after these bytes.
    Close(Vec<u8>),
}

/// The reply to one command of a connection.
#[derive(Debug)]
pub struct EncodedReply {
    /// The command's place among the connection's replies.
    pub slot: u64,
    /// The bytes to send.
    pub bytes: Vec<u8>,
}

/// A client's protocol on one connection.
pub trait ClientProtocol {
    /// Parses the next command of `input`, which starts at `position`, and moves `position` past it unless it
    /// is incomplete or invalid.
    ///
    /// `slot` identifies the command's place among the connection's replies; responses to its requests come
    /// back under the same number. `ready` is whether the gateway can serve requests, for commands that ask.
    fn parse_command(&mut self, input: &[u8], position: &mut usize, slot: u64, ready: bool) -> CommandStep;

    /// Takes the one response to a request of the command at `slot`. Called once for each submitted request,
    /// in any order. Once the command has all that it needs, its slot and encoded reply are appended to `out`.
    fn encode_response(&mut self, slot: u64, response: Response, out: &mut Vec<EncodedReply>);

    /// The last bytes to a client whose incomplete command no longer fits in memory; the command did not run.
    fn overloaded_reply(&self) -> Vec<u8>;

    /// The last bytes to a client whose command was not complete in time; the command did not run.
    fn timeout_reply(&self) -> Vec<u8>;

    /// How long a client that has sent a command may be idle before its connection is closed, in microseconds.
    fn idle_timeout(&self) -> Micros;

    /// Whether closing the connection now would lose state between commands, such as a buffered upload.
    fn is_mid_command(&self) -> bool {
        false
    }
}
