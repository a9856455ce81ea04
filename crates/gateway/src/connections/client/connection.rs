//! One client connection.

use super::eviction_queue::{EvictionCandidate, EvictionPriority};
use super::reply_queue::ReplyQueue;
use crate::client_protocol::resp::MAX_COMMAND_BYTES;
use crate::client_protocol::{ClientProtocol, CommandStep, EncodedReply};
use crate::connection_token::ConnectionToken;
use crate::connections::connection_timer::ConnectionTimer;
use crate::connections::counted_bytes::CountedBytes;
use crate::connections::socket::{Interest, Socket, StreamStatus};
use io_scheduler::{Micros, RequestId};

/// Bytes of input buffered for a connection: enough for the largest command with the length
/// prefixes of its words.
pub(super) const MAX_INPUT_BYTES: usize = MAX_COMMAND_BYTES + (2 << 10);
/// How many commands of one connection may wait for a reply; further ones are not parsed until
/// then.
const MAX_PIPELINED_COMMANDS: usize = 32;
/// How many unsent bytes of replies one connection may have; beyond them no further command is
/// parsed.
pub(super) const MAX_UNSENT_BYTES: usize = 64 << 10;
/// Time limit in microseconds for the first complete command of a connection, and for completing
/// any command whose first bytes have arrived. Without it, clients that stay silent would keep
/// descriptors that other clients need.
const COMMAND_TIMEOUT: Micros = 2_300_000;
/// A client that has read none of its pending output for this long, in microseconds, is
/// disconnected.
const WRITE_TIMEOUT: Micros = 10_000_000;
/// How long, in microseconds, a lingering close waits for the client to close its side.
const LINGERING_CLOSE_TIMEOUT: Micros = 300_000;
/// How many bytes a lingering close reads and drops before it closes the connection.
const MAX_LINGERING_BYTES: usize = 256 << 10;

/// A client's connection.
pub(super) struct ClientConnection {
    /// The TCP stream with its buffers.
    pub(super) socket: Socket,
    /// Parses the commands and encodes the replies.
    pub(super) protocol: Box<dyn ClientProtocol>,
    /// Replies that are not in the output buffer yet.
    pub(super) replies: ReplyQueue,
    /// Whether it takes commands or is closing.
    pub(super) lifecycle: Lifecycle,
    /// What the client has sent so far, which decides how soon the connection is evicted.
    pub(super) eviction_priority: EvictionPriority,
    /// When the connection last made progress: the client connected, sent a complete command or
    /// read some of its output, a response to one of its requests came, or the lingering close
    /// started.
    pub(super) last_active_at: Micros,
    /// Since when an incomplete command has been the only thing pending on the connection; `None`
    /// without one, and while replies are pending.
    pub(super) partial_command_since: Option<Micros>,
    /// Expires when the connection is to be closed; see [`ClientConnection::close_at`].
    pub(super) timer: ConnectionTimer,
    /// Its entry in the eviction queue, if it is in the queue.
    pub(super) eviction_candidate: Option<EvictionCandidate>,
    /// Its part of [`super::ClientConnections::unsent_bytes`].
    pub(super) counted_unsent_bytes: CountedBytes,
    /// Its part of [`super::ClientConnections::partial_command_bytes`].
    pub(super) counted_partial_command_bytes: CountedBytes,
}

/// What has happened on a connection that is about to be closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum LateActivity {
    /// Nothing has arrived.
    None,
    /// Input has arrived that was not read yet.
    Input,
    /// The client has closed its side, or the connection has failed.
    Ended,
}

/// The stages of a connection, in their order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Lifecycle {
    /// Commands are parsed and run.
    Open,
    /// No further command is run; the lingering close starts once all replies are written.
    CloseAfterReplies,
    /// Lingering close: all replies are written and the sending side is closed. What the client
    /// still sends is read and dropped until it closes its side.
    Lingering {
        /// How many more bytes are read before the connection is dropped.
        remaining: usize,
    },
}

impl ClientConnection {
    /// A connection accepted at the time `now`.
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
            eviction_priority: EvictionPriority::Silent,
            last_active_at: now,
            partial_command_since: None,
            eviction_candidate: None,
            counted_unsent_bytes: CountedBytes::default(),
            counted_partial_command_bytes: CountedBytes::default(),
        }
    }

    /// The connection's token.
    pub(super) fn token(&self) -> ConnectionToken {
        self.socket.token()
    }

    /// Whether no further command is run.
    pub(super) fn is_closing(&self) -> bool {
        self.lifecycle != Lifecycle::Open
    }

    /// Whether the lingering close has started.
    pub(super) fn is_lingering(&self) -> bool {
        matches!(self.lifecycle, Lifecycle::Lingering { .. })
    }

    /// Bytes of encoded replies that are not written yet, those that wait for earlier ones
    /// included.
    pub(super) fn unsent_bytes(&self) -> usize {
        self.socket.unsent_bytes() + self.replies.encoded_bytes()
    }

    /// Whether every command that was run has its reply, and all replies are written.
    pub(super) fn is_fully_replied(&self) -> bool {
        self.replies.is_empty() && self.socket.unsent_bytes() == 0
    }

    /// Whether a command has arrived in part, or an upload is open.
    pub(super) fn has_begun_command_or_upload(&self) -> bool {
        !self.socket.input.is_empty() || self.protocol.has_open_upload()
    }

    /// Whether the connection may be closed as idle: no reply is pending, no command has begun and
    /// no upload is open. Handles that an SFTP client has open for reading or listing do not
    /// prevent it: they are lost with the connection.
    pub(super) fn is_idle(&self) -> bool {
        self.is_fully_replied() && !self.has_begun_command_or_upload()
    }

    /// Whether the limits of this connection allow the next command to be parsed. Limits on all
    /// connections together are checked elsewhere.
    pub(super) fn may_parse_command(&self) -> bool {
        !self.is_closing()
            && self.replies.len() < MAX_PIPELINED_COMMANDS
            && self.socket.unsent_bytes() < MAX_UNSENT_BYTES
    }

    /// Parses the next command, which starts at `position` of the input, and moves `position` past
    /// it. `has_endpoint` is whether any node is in service.
    pub(super) fn parse_command(
        &mut self,
        position: &mut usize,
        has_endpoint: bool,
    ) -> CommandStep {
        let slot = self.replies.next_slot();
        self.protocol
            .parse_command(&self.socket.input, position, slot, has_endpoint)
    }

    /// Drops the input that was parsed, or all of it if the connection is closing, and records
    /// since when a partial command is the only thing pending.
    pub(super) fn consume_parsed(&mut self, parsed_bytes: usize, now: Micros) {
        let consumed = if self.is_closing() {
            self.socket.input.len()
        } else {
            parsed_bytes
        };
        self.socket.consume(consumed);
        if consumed > 0 || self.socket.input.is_empty() {
            self.partial_command_since = None;
        }
        if !self.socket.input.is_empty() && self.replies.is_empty() {
            self.partial_command_since.get_or_insert(now);
        }
    }

    /// Records that a complete command was run at the time `now`, and queues its reply if it is
    /// ready.
    pub(super) fn note_command(&mut self, now: Micros) {
        self.eviction_priority = self.eviction_priority.max(EvictionPriority::Commands);
        self.last_active_at = now;
        self.queue_ready_replies();
    }

    /// Reads what has arrived since the connection was handled last, before it is closed.
    pub(super) fn read_late_input(&mut self) -> LateActivity {
        let length_before = self.socket.input.len();
        match self.socket.read_available(MAX_INPUT_BYTES) {
            Ok(StreamStatus::Open) if self.socket.input.len() > length_before => {
                LateActivity::Input
            }
            Ok(StreamStatus::Open) => LateActivity::None,
            Ok(StreamStatus::Ended) | Err(_) => LateActivity::Ended,
        }
    }

    /// The events that the poller is to report while commands are run.
    pub(super) fn interest(&self, input_is_full: bool) -> Interest {
        if input_is_full || self.is_closing() {
            Interest::Paused
        } else {
            Interest::Read
        }
    }

    /// When the connection is to be closed if nothing happens on it before; `None` while the
    /// client waits for a reply.
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
        match self.partial_command_since {
            Some(since) => Some(idle_until.min(since + COMMAND_TIMEOUT)),
            None => Some(idle_until),
        }
    }

    /// How long the connection may be idle, in microseconds.
    fn idle_timeout(&self) -> Micros {
        if self.eviction_priority > EvictionPriority::Silent {
            self.protocol.idle_timeout()
        } else {
            COMMAND_TIMEOUT
        }
    }

    /// The entry for the eviction queue; `None` if a reply is pending or an upload is open. As with
    /// [`Self::is_idle`], other open handles do not prevent it.
    pub(super) fn as_eviction_candidate(&self) -> Option<EvictionCandidate> {
        if !self.is_fully_replied() || self.protocol.has_open_upload() {
            return None;
        }
        let priority = if self.socket.input.is_empty() {
            self.eviction_priority
        } else {
            EvictionPriority::MidCommand
        };
        Some(EvictionCandidate {
            priority,
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

    /// Records that the lingering close has started at the time `now`.
    pub(super) fn start_lingering(&mut self, now: Micros) {
        self.lifecycle = Lifecycle::Lingering {
            remaining: MAX_LINGERING_BYTES,
        };
        self.last_active_at = now;
    }

    /// Stores encoded replies and queues those that are next in order. Returns the requests of
    /// their commands, some of which may still be without a response.
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
