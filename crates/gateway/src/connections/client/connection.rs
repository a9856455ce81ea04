//! One client connection.

use super::eviction::{EvictionCandidate, EvictionPriority};
use crate::client_protocol::{ClientProtocol, EncodedReply};
use crate::connections::socket::Socket;
use io_scheduler::{Micros, RequestId};
use std::collections::{BTreeMap, VecDeque};

/// Commands of one connection that wait for a reply; no more are parsed before.
const MAX_PIPELINED_COMMANDS: usize = 32;
/// Unsent bytes of one connection; beyond them no further command of it is parsed.
pub(super) const MAX_UNSENT_BYTES: usize = 64 << 10;
/// Within this time a connection must send its first complete command, and a command that has begun must be
/// complete. Clients that connect and stay silent, or never end a command, would hold descriptors that others
/// need.
const COMMAND_TIMEOUT: Micros = 2_300_000;
/// A client that takes nothing of its replies for this long is disconnected.
const WRITE_TIMEOUT: Micros = 10_000_000;
/// How long a lingering close waits for the client to close its side.
const LINGERING_CLOSE_TIMEOUT: Micros = 300_000;

/// A client's connection.
pub(crate) struct ClientConnection {
    pub(super) socket: Socket,
    pub(super) protocol: Box<dyn ClientProtocol>,
    /// Replies in the order of the commands; one that is not there yet holds back those behind it.
    pub(super) replies: VecDeque<PendingReply>,
    /// The number of the next command.
    pub(super) next_slot: u64,
    /// The requests of each command that has no reply yet.
    pub(super) open_requests: BTreeMap<u64, Vec<RequestId>>,
    pub(super) lifecycle: Lifecycle,
    /// What the client has sent so far.
    pub(super) eviction_priority: EvictionPriority,
    /// When it connected, or last sent a complete command or took some of its replies.
    pub(super) last_active_at: Micros,
    /// When the command that is not complete yet began.
    pub(super) partial_command_since: Option<Micros>,
    /// When its timer fires, if it is set.
    pub(super) deadline: Option<Micros>,
    /// Its entry in the eviction queue, while it is there.
    pub(super) eviction_candidate: Option<EvictionCandidate>,
    /// What it adds to [`super::ClientConnections::unsent_bytes`].
    pub(super) counted_unsent_bytes: usize,
    /// What it adds to [`super::ClientConnections::partial_command_bytes`].
    pub(super) counted_partial_command_bytes: usize,
}

/// The reply to one command.
pub(super) struct PendingReply {
    pub(super) slot: u64,
    /// The encoded reply, once it is there.
    pub(super) bytes: Option<Vec<u8>>,
}

/// How far a connection is on the way to its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Lifecycle {
    /// Commands are taken.
    Open,
    /// No further command is taken; the connection closes once all replies are written.
    CloseAfterReplies,
    /// Everything is written and the client knows that this was the end. What it still sends is read and
    /// dropped.
    Lingering {
        /// Bytes that are still read.
        remaining: usize,
    },
}

impl ClientConnection {
    pub(super) fn new(socket: Socket, protocol: Box<dyn ClientProtocol>, now: Micros) -> ClientConnection {
        ClientConnection {
            socket,
            protocol,
            replies: VecDeque::new(),
            next_slot: 0,
            open_requests: BTreeMap::new(),
            lifecycle: Lifecycle::Open,
            eviction_priority: EvictionPriority::Silent,
            last_active_at: now,
            partial_command_since: None,
            deadline: None,
            eviction_candidate: None,
            counted_unsent_bytes: 0,
            counted_partial_command_bytes: 0,
        }
    }

    /// Whether no further command is taken.
    pub(super) fn is_closing(&self) -> bool {
        self.lifecycle != Lifecycle::Open
    }

    /// Whether only the client's end of the connection is waited for.
    pub(super) fn is_lingering(&self) -> bool {
        matches!(self.lifecycle, Lifecycle::Lingering { .. })
    }

    /// Bytes of replies that the client has not taken yet.
    pub(super) fn unsent_bytes(&self) -> usize {
        let encoded: usize = self.replies.iter().filter_map(|reply| reply.bytes.as_ref()).map(Vec::len).sum();
        self.socket.unsent_bytes() + encoded
    }

    /// Whether every command has its reply, and all of them are written.
    pub(super) fn is_fully_replied(&self) -> bool {
        self.replies.is_empty() && self.socket.unsent_bytes() == 0
    }

    /// Whether nothing is under way: no reply is pending and no command or upload has begun.
    pub(super) fn is_idle(&self) -> bool {
        self.is_fully_replied() && !self.protocol.is_mid_command() && self.socket.input.is_empty()
    }

    /// Whether the next command may be parsed, as far as this connection alone decides.
    pub(super) fn may_parse_command(&self) -> bool {
        !self.is_closing()
            && self.replies.len() < MAX_PIPELINED_COMMANDS
            && self.socket.unsent_bytes() < MAX_UNSENT_BYTES
    }

    /// When the connection is closed if nothing happens on it until then.
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

    /// Sends a last reply; what has arrived and is not answered yet is dropped.
    pub(super) fn close_after_reply(&mut self, reply: Vec<u8>) {
        self.lifecycle = Lifecycle::CloseAfterReplies;
        self.replies.push_back(PendingReply { slot: self.next_slot, bytes: Some(reply) });
        self.next_slot += 1;
        self.queue_ready_replies();
    }

    /// Stores encoded replies and queues those whose turn it is. Returns the requests of their commands, as
    /// some may still be open.
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

    /// Moves the replies to the output that no earlier one holds back.
    pub(super) fn queue_ready_replies(&mut self) {
        while let Some(PendingReply { bytes: Some(bytes), .. }) = self.replies.front_mut() {
            self.socket.output().append(bytes);
            self.replies.pop_front();
        }
    }
}
