//! The state of one client connection.

use super::eviction_queue::{EvictionCandidate, EvictionRank};
use super::reply_queue::ReplyQueue;
use super::waiting_commands::UnparsedInput;
use crate::client_protocol::resp::MAX_COMMAND_BYTES;
use crate::client_protocol::{ClientProtocol, EncodedReply, ParsedCommand};
use crate::connection_token::ConnectionToken;
use crate::connections::connection_timer::ConnectionTimer;
use crate::connections::counted_bytes::CountedBytes;
use crate::connections::socket::{Interest, Socket, StreamStatus};
use io_scheduler::{Micros, RequestId};
use std::io;

/// Maximum input in bytes that is read from a connection in one turn of the event loop, so that a
/// client that sends without a pause leaves time to others.
const MAX_READ_BYTES: usize = 16 << 10;
/// Maximum input in bytes that is read before a connection is closed: the largest command,
/// including the length lines of its arguments.
const MAX_LAST_READ_BYTES: usize = MAX_COMMAND_BYTES + (2 << 10);
/// Maximum number of commands of one connection that wait for a reply. Further ones wait in the
/// input buffer until a reply is sent.
const MAX_PIPELINED_COMMANDS: usize = 32;
/// Maximum unsent reply bytes of one connection. Once they are reached, no further command is
/// parsed.
pub(super) const MAX_UNSENT_BYTES: usize = 64 << 10;
/// Memory that is reserved for the reply to a request, in bytes: the largest value that the
/// protocol allows, and its length line.
pub(super) const MAX_REPLY_BYTES: usize = (64 << 10) + (1 << 10);
/// Time limit, in microseconds, for the first complete command of a connection, and for completing
/// any command whose first bytes have arrived. Without it, silent clients would occupy descriptors
/// that other clients need.
const COMMAND_TIMEOUT: Micros = 2_300_000;
/// A client is disconnected if it reads none of its pending output for this long, in microseconds.
const WRITE_TIMEOUT: Micros = 10_000_000;
/// Maximum time, in microseconds, that a lingering close waits for the client to close its side.
const LINGERING_CLOSE_TIMEOUT: Micros = 300_000;
/// Maximum number of bytes that a lingering close reads and discards before it closes the socket.
const MAX_LINGERING_BYTES: usize = 256 << 10;

/// A connection accepted from a client.
pub(super) struct ClientConnection {
    /// The TCP stream with its input and output buffers.
    pub(super) socket: Socket,
    /// Parses commands and encodes replies.
    pub(super) protocol: Box<dyn ClientProtocol>,
    /// Replies that have not been moved to the output buffer yet.
    pub(super) replies: ReplyQueue,
    /// Whether the connection runs commands or is closing.
    pub(super) lifecycle: Lifecycle,
    /// Rank in the order of eviction, which records what the client has sent so far.
    pub(super) eviction_rank: EvictionRank,
    /// When the connection last made progress. Progress is: the connection was accepted, the client
    /// sent a complete command or read some of its output, a response to one of its requests
    /// arrived, or the lingering close started.
    pub(super) last_active_at: Micros,
    /// When input was last read, if that read was as long as is allowed in one turn, so that more
    /// input is likely to follow; `None` otherwise.
    pub(super) bulk_read_at: Option<Micros>,
    /// Since when the connection has had an incomplete command and no pending reply; `None` if
    /// either condition does not hold.
    pub(super) partial_command_since: Option<Micros>,
    /// Expires when the connection is due to be closed; see [`ClientConnection::close_at`].
    pub(super) timer: ConnectionTimer,
    /// The connection's entry in the eviction queue; `None` if it is not queued.
    pub(super) eviction_candidate: Option<EvictionCandidate>,
    /// The connection's contribution to [`super::ClientConnections::unsent_bytes`].
    pub(super) counted_unsent_bytes: CountedBytes,
    /// The connection's contribution to [`super::ClientConnections::reserved_reply_bytes`].
    pub(super) counted_reserved_reply_bytes: CountedBytes,
    /// The connection's contribution to [`super::ClientConnections::partial_command_bytes`].
    pub(super) counted_partial_command_bytes: CountedBytes,
    /// The connection's contribution to [`super::ClientConnections::waiting_command_bytes`].
    pub(super) counted_waiting_command_bytes: CountedBytes,
}

/// The result of [`ClientConnection::read_before_close`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum PreCloseRead {
    /// No input has arrived.
    NoInput,
    /// New input is in the input buffer.
    Input,
    /// The client has closed its side, or the connection has failed.
    Ended,
}

/// The stages of a connection, in the order in which it passes through them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Lifecycle {
    /// Commands are parsed and run.
    Open,
    /// No further command is run. The lingering close starts once all replies are written.
    CloseAfterReplies,
    /// Lingering close: all replies are written and the sending side is shut down. Input from the
    /// client is read and discarded until the client closes its side.
    Lingering {
        /// How many more bytes may be discarded before the connection is dropped.
        remaining_bytes: usize,
    },
}

impl ClientConnection {
    /// Creates the state of a connection that was accepted at the time `now`.
    pub(super) fn new(
        socket: Socket,
        protocol: Box<dyn ClientProtocol>,
        now: Micros,
    ) -> ClientConnection {
        ClientConnection {
            timer: ConnectionTimer::new(socket.token()),
            socket,
            protocol,
            replies: ReplyQueue::default(),
            lifecycle: Lifecycle::Open,
            eviction_rank: EvictionRank::NoCommand,
            last_active_at: now,
            bulk_read_at: None,
            partial_command_since: None,
            eviction_candidate: None,
            counted_unsent_bytes: CountedBytes::default(),
            counted_reserved_reply_bytes: CountedBytes::default(),
            counted_partial_command_bytes: CountedBytes::default(),
            counted_waiting_command_bytes: CountedBytes::default(),
        }
    }

    /// Returns the connection's token.
    pub(super) fn token(&self) -> ConnectionToken {
        self.socket.token()
    }

    /// Returns whether the connection is closing, so that no further command is run.
    pub(super) fn is_closing(&self) -> bool {
        self.lifecycle != Lifecycle::Open
    }

    /// Returns whether the lingering close has started.
    pub(super) fn is_lingering(&self) -> bool {
        matches!(self.lifecycle, Lifecycle::Lingering { .. })
    }

    /// Returns the number of encoded reply bytes not written yet, including replies that wait for
    /// earlier ones.
    pub(super) fn unsent_bytes(&self) -> usize {
        self.socket.unsent_bytes() + self.replies.encoded_bytes()
    }

    /// Returns the bytes that have to be reserved for replies that will wait for earlier ones.
    pub(super) fn reserved_reply_bytes(&self) -> usize {
        self.replies.awaiting_behind_first() * MAX_REPLY_BYTES
    }

    /// Returns whether every command that was run has been replied to and all replies are written.
    pub(super) fn is_fully_replied(&self) -> bool {
        self.replies.is_empty() && self.socket.unsent_bytes() == 0
    }

    /// Returns whether the input buffer is empty.
    pub(super) fn input_is_empty(&self) -> bool {
        self.socket.input.is_empty()
    }

    /// Returns whether the input buffer contains a command, complete or in part, or an upload is
    /// open.
    pub(super) fn has_partial_command_or_open_upload(&self) -> bool {
        !self.input_is_empty() || self.protocol.has_open_upload()
    }

    /// Returns whether the connection may be closed as idle: no reply is pending, no command has
    /// arrived in part and no upload is open. Handles that an SFTP client has open for reading or
    /// listing do not keep the connection open; they are lost with it.
    pub(super) fn is_idle(&self) -> bool {
        self.is_fully_replied() && !self.has_partial_command_or_open_upload()
    }

    /// Returns whether the limits of this connection allow another command to be parsed. The limits
    /// over all connections are checked by the caller.
    pub(super) fn may_parse_command(&self) -> bool {
        !self.is_closing()
            && self.replies.len() < MAX_PIPELINED_COMMANDS
            && self.socket.unsent_bytes() < MAX_UNSENT_BYTES
    }

    /// Parses the command that starts at `position` of the input, and moves `position` past it.
    /// `has_node_in_service` says whether any node is in service.
    pub(super) fn parse_command(
        &mut self,
        position: &mut usize,
        has_node_in_service: bool,
    ) -> ParsedCommand {
        let command_number = self.replies.next_command_number();
        self.protocol.parse_command(
            &self.socket.input,
            position,
            command_number,
            has_node_in_service,
        )
    }

    /// Discards the parsed input, or all input if the connection is closing. Updates
    /// [`Self::partial_command_since`].
    pub(super) fn consume_parsed(&mut self, parsed_bytes: usize, rest: UnparsedInput, now: Micros) {
        let consumed = if self.is_closing() {
            self.socket.input.len()
        } else {
            parsed_bytes
        };
        self.socket.consume(consumed);
        let is_incomplete = !self.input_is_empty() && rest == UnparsedInput::Incomplete;
        if consumed > 0 || !is_incomplete {
            self.partial_command_since = None;
        }
        if is_incomplete && self.replies.is_empty() {
            self.partial_command_since.get_or_insert(now);
        }
    }

    /// Reads available input at the time `now`, up to [`MAX_READ_BYTES`].
    pub(super) fn read_input(&mut self, now: Micros) -> io::Result<StreamStatus> {
        let max_buffered = self.socket.input.len() + MAX_READ_BYTES;
        let status = self.socket.read_available(max_buffered)?;
        let is_bulk = self.socket.input.len() == max_buffered;
        self.bulk_read_at = is_bulk.then_some(now);
        Ok(status)
    }

    /// Records that a complete command was run at the time `now`, and queues its reply if it is
    /// ready.
    pub(super) fn record_command(&mut self, now: Micros) {
        self.eviction_rank = self.eviction_rank.max(EvictionRank::SentCommand);
        self.last_active_at = now;
        self.queue_ready_replies();
    }

    /// Reads input once more before an idle connection is closed, in case the client has sent a
    /// command in the meantime.
    pub(super) fn read_before_close(&mut self) -> PreCloseRead {
        let length_before = self.socket.input.len();
        let max_buffered = length_before + MAX_LAST_READ_BYTES;
        match self.socket.read_available(max_buffered) {
            Ok(StreamStatus::Open) if self.socket.input.len() > length_before => {
                PreCloseRead::Input
            }
            Ok(StreamStatus::Open) => PreCloseRead::NoInput,
            Ok(StreamStatus::Ended) | Err(_) => PreCloseRead::Ended,
        }
    }

    /// Returns the events to wait for before a lingering close.
    ///
    /// Input is read also while no command may be run and while the connection is closing, because
    /// the end of the stream is visible only once all input before it has been read. Reading is
    /// paused only while the client does not read its replies: if it closes the connection then,
    /// its system resets the connection, which is visible at once.
    pub(super) fn interest(&self) -> Interest {
        if self.socket.unsent_bytes() >= MAX_UNSENT_BYTES {
            Interest::Paused
        } else {
            Interest::Read
        }
    }

    /// Returns when to close the connection if nothing happens on it before; `None` while the
    /// client waits for a response.
    pub(super) fn close_at(&self) -> Option<Micros> {
        if self.is_lingering() {
            return Some(self.last_active_at + LINGERING_CLOSE_TIMEOUT);
        }
        if self.socket.unsent_bytes() > 0 {
            return Some(self.last_active_at + WRITE_TIMEOUT);
        }
        if !self.replies.is_empty() {
            return None;
        }
        let idle_until = self.last_active_at + self.idle_timeout();
        let Some(since) = self.partial_command_since else {
            return Some(idle_until);
        };
        let complete_by = since + COMMAND_TIMEOUT;
        // A client that has not sent any command yet has no more time in all.
        if self.eviction_rank == EvictionRank::NoCommand {
            return Some(complete_by.min(idle_until));
        }
        Some(complete_by)
    }

    /// Returns how long the connection may be idle, in microseconds.
    fn idle_timeout(&self) -> Micros {
        if self.eviction_rank > EvictionRank::NoCommand {
            self.protocol.idle_timeout()
        } else {
            COMMAND_TIMEOUT
        }
    }

    /// Returns the entry for the eviction queue; `None` if a reply is pending or an upload is open.
    /// As in [`Self::is_idle`], other open handles are ignored.
    pub(super) fn to_eviction_candidate(&self) -> Option<EvictionCandidate> {
        if !self.is_fully_replied() || self.protocol.has_open_upload() {
            return None;
        }
        let rank = if self.socket.input.is_empty() {
            self.eviction_rank
        } else {
            EvictionRank::PartialCommand
        };
        Some(EvictionCandidate {
            rank,
            last_active_at: self.last_active_at,
            token: self.token(),
        })
    }

    /// Queues a last reply and stops running commands. Replies to earlier commands are still sent
    /// before it.
    pub(super) fn close_after_reply(&mut self, reply: Vec<u8>) {
        self.lifecycle = Lifecycle::CloseAfterReplies;
        self.replies.push_encoded(reply);
        self.queue_ready_replies();
    }

    /// Records that the lingering close started at the time `now`.
    pub(super) fn start_lingering(&mut self, now: Micros) {
        self.lifecycle = Lifecycle::Lingering {
            remaining_bytes: MAX_LINGERING_BYTES,
        };
        self.last_active_at = now;
    }

    /// Stores encoded replies and queues those that are next in order. Returns the requests of
    /// their commands; some of these may not have a response yet.
    pub(super) fn complete_replies(&mut self, encoded: Vec<EncodedReply>) -> Vec<RequestId> {
        let mut requests = Vec::new();
        for reply in encoded {
            requests.extend(self.replies.complete(reply));
        }
        self.queue_ready_replies();
        requests
    }

    /// Moves the replies that are next in order to the output buffer.
    fn queue_ready_replies(&mut self) {
        self.replies.append_ready(self.socket.output());
    }
}
