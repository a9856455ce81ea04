//! One client connection.

use super::eviction::{EvictionCandidate, EvictionPriority};
use crate::client_protocol::{ClientProtocol, EncodedReply};
use crate::connections::socket::Socket;
use crate::connections::CountedBytes;
use crate::storage_request::SlotNumber;
use io_scheduler::{Micros, RequestId};
use std::collections::{BTreeMap, VecDeque};

/// How many commands of one connection may wait for a reply; further ones are not parsed until then.
const MAX_PIPELINED_COMMANDS: usize = 32;
/// How many unsent bytes of replies one connection may have; beyond them no further command is parsed.
pub(super) const MAX_UNSENT_BYTES: usize = 64 << 10;
/// Time limit for the first complete command of a connection, and for completing any command whose first
/// bytes have arrived. Without it, clients that stay silent would keep descriptors that other clients need.
const COMMAND_TIMEOUT: Micros = 2_300_000;
/// A client that has read none of its pending output for this long is disconnected.
const WRITE_TIMEOUT: Micros = 10_000_000;
/// How long a lingering close waits for the client to close its side.
const LINGERING_CLOSE_TIMEOUT: Micros = 300_000;

/// A client's connection.
pub(crate) struct ClientConnection {
    /// The TCP stream with its buffers.
    pub(super) socket: Socket,
    /// Parses the commands and encodes the replies.
    pub(super) protocol: Box<dyn ClientProtocol>,
    /// Replies that are not in the output buffer yet, in the order of their commands. Replies must leave in
    /// that order, so those that are ready wait for earlier ones.
    pub(super) replies: VecDeque<PendingReply>,
    /// The slot of the next command's reply. Slots number the commands of a connection from 0.
    pub(super) next_slot: SlotNumber,
    /// The requests of each command that waits for its reply, by slot.
    pub(super) open_requests: BTreeMap<SlotNumber, Vec<RequestId>>,
    /// Whether it takes commands or is closing.
    pub(super) lifecycle: Lifecycle,
    /// What the client has sent so far, which decides how soon the connection is evicted.
    pub(super) eviction_priority: EvictionPriority,
    /// When the connection last made progress: the client connected, sent a complete command or read some of
    /// its output, a response to one of its requests came, or the lingering close started.
    pub(super) last_active_at: Micros,
    /// Since when an incomplete command has been the only thing pending on the connection; `None` without
    /// one, and while replies are pending.
    pub(super) partial_command_since: Option<Micros>,
    /// When its [`crate::timer_queue::Timer::Connection`] expires, if it is set.
    pub(super) timer_deadline: Option<Micros>,
    /// Its entry in the eviction queue, if it is in the queue.
    pub(super) eviction_candidate: Option<EvictionCandidate>,
    /// Its part of [`super::ClientConnections::unsent_bytes`].
    pub(super) counted_unsent_bytes: CountedBytes,
    /// Its part of [`super::ClientConnections::partial_command_bytes`].
    pub(super) counted_partial_command_bytes: CountedBytes,
}

/// The reply to one command.
pub(super) struct PendingReply {
    /// Position among the replies of the connection.
    pub(super) slot: SlotNumber,
    /// The encoded reply; `None` while responses to the command's requests are awaited.
    pub(super) bytes: Option<Vec<u8>>,
}

/// The stages of a connection, in their order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Lifecycle {
    /// Commands are parsed and run.
    Open,
    /// No further command is run; the lingering close starts once all replies are written.
    CloseAfterReplies,
    /// Lingering close: all replies are written and the sending side is closed. What the client still sends
    /// is read and dropped until it closes its side.
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
            socket,
            protocol,
            replies: VecDeque::new(),
            next_slot: SlotNumber::FIRST,
            open_requests: BTreeMap::new(),
            lifecycle: Lifecycle::Open,
            eviction_priority: EvictionPriority::Silent,
            last_active_at: now,
            partial_command_since: None,
            timer_deadline: None,
            eviction_candidate: None,
            counted_unsent_bytes: CountedBytes::default(),
            counted_partial_command_bytes: CountedBytes::default(),
        }
    }

    /// Whether no further command is run.
    pub(super) fn is_closing(&self) -> bool {
        self.lifecycle != Lifecycle::Open
    }

    /// Whether the lingering close has started.
    pub(super) fn is_lingering(&self) -> bool {
        matches!(self.lifecycle, Lifecycle::Lingering { .. })
    }

    /// Bytes of encoded replies that are not written yet, those that wait for earlier ones included.
    pub(super) fn unsent_bytes(&self) -> usize {
        let encoded: usize = self
            .replies
            .iter()
            .filter_map(|reply| reply.bytes.as_ref())
            .map(Vec::len)
            .sum();
        self.socket.unsent_bytes() + encoded
    }

    /// Whether every command that was run has its reply, and all replies are written.
    pub(super) fn is_fully_replied(&self) -> bool {
        self.replies.is_empty() && self.socket.unsent_bytes() == 0
    }

    /// Whether a command has arrived in part, or a sequence of commands such as an upload is incomplete.
    pub(super) fn has_partial_command(&self) -> bool {
        !self.socket.input.is_empty() || self.protocol.is_mid_command()
    }

    /// Whether the connection can be closed without loss: no reply is pending and no command has begun.
    pub(super) fn is_idle(&self) -> bool {
        self.is_fully_replied() && !self.has_partial_command()
    }

    /// Whether the limits of this connection allow the next command to be parsed. Limits on all connections
    /// together are checked elsewhere.
    pub(super) fn may_parse_command(&self) -> bool {
        !self.is_closing()
            && self.replies.len() < MAX_PIPELINED_COMMANDS
            && self.socket.unsent_bytes() < MAX_UNSENT_BYTES
    }

    /// When the connection is to be closed if nothing happens on it before; `None` while the client waits for
    /// a reply.
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
        let idle_timeout = if self.eviction_priority > EvictionPriority::Silent {
            self.protocol.idle_timeout()
        } else {
            COMMAND_TIMEOUT
        };
        let idle_until = self.last_active_at + idle_timeout;
        match self.partial_command_since {
            Some(since) => Some(idle_until.min(since + COMMAND_TIMEOUT)),
            None => Some(idle_until),
        }
    }

    /// Queues a last reply and stops running commands. Replies to earlier commands are still sent before it.
    pub(super) fn close_after_reply(&mut self, reply: Vec<u8>) {
        self.lifecycle = Lifecycle::CloseAfterReplies;
        self.replies.push_back(PendingReply {
            slot: self.next_slot,
            bytes: Some(reply),
        });
        self.next_slot = self.next_slot.next();
        self.queue_ready_replies();
    }

    /// Stores encoded replies and queues those that are next in order. Returns the requests of their
    /// commands, some of which may still be without a response.
    pub(super) fn complete_replies(&mut self, encoded: Vec<EncodedReply>) -> Vec<RequestId> {
        let mut requests = Vec::new();
        for EncodedReply { slot, bytes } in encoded {
            if let Some(reply) = self.replies.iter_mut().find(|reply| reply.slot == slot) {
                reply.bytes = Some(bytes);
            }
            requests.extend(self.open_requests.remove(&slot).unwrap_or_default());
        }
        self.queue_ready_replies();
        requests
    }

    /// Moves encoded replies to the output buffer, up to the first that is not encoded yet.
    pub(super) fn queue_ready_replies(&mut self) {
        while let Some(PendingReply {
            bytes: Some(bytes), ..
        }) = self.replies.front_mut()
        {
            self.socket.output().append(bytes);
            self.replies.pop_front();
        }
    }
}
