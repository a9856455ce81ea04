//! Which client connections are closed when descriptors run short.

use super::{ClientConnection, ClientConnections, MAX_INPUT};
use crate::connections::socket::StreamStatus;
use crate::connections::ConnectionToken;
use crate::event_loop::Context;
use io_scheduler::Micros;
use std::collections::BTreeSet;

/// A connection younger than this may have its first command on the way.
const FIRST_COMMAND_GRACE: Micros = 50_000;

/// What a client has sent so far; the lowest is closed first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum EvictionPriority {
    /// No complete command.
    Silent,
    /// Commands, but no request.
    Commands,
    /// Requests.
    Requests,
    /// Part of a command that may still become complete.
    MidCommand,
}

/// A connection that may be closed, in the order in which they are. The order of the fields counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct EvictionCandidate {
    /// What the client has sent so far.
    pub(super) priority: EvictionPriority,
    /// When the client was last active.
    pub(super) last_active_at: Micros,
    /// The connection's token.
    pub(super) token: ConnectionToken,
}

impl EvictionCandidate {
    /// Sorts before every connection of this priority.
    fn lowest_of(priority: EvictionPriority) -> EvictionCandidate {
        EvictionCandidate { priority, last_active_at: Micros::MIN, token: ConnectionToken::MIN }
    }
}

/// The connections that have no reply pending and may be closed.
#[derive(Debug, Default)]
pub(super) struct EvictionQueue {
    candidates: BTreeSet<EvictionCandidate>,
}

impl EvictionQueue {
    pub(super) fn insert(&mut self, candidate: EvictionCandidate) {
        self.candidates.insert(candidate);
    }

    /// Takes a connection out of the queue while it is worked on.
    pub(super) fn remove(&mut self, client: &mut ClientConnection) {
        if let Some(candidate) = client.eviction_candidate.take() {
            self.candidates.remove(&candidate);
        }
    }

    /// The connection to close for another one: the longest silent one of those that never sent a command,
    /// unless that has only just connected, else the longest idle one of the lowest priority above.
    fn next_to_evict(&self, now: Micros) -> Option<ConnectionToken> {
        let first = self.candidates.first()?;
        if now - first.last_active_at >= FIRST_COMMAND_GRACE {
            return Some(first.token);
        }
        let with_commands = EvictionCandidate::lowest_of(EvictionPriority::Commands);
        let first_with_commands = self.candidates.range(with_commands..).next();
        Some(first_with_commands.unwrap_or(first).token)
    }

    /// The longest idle connection of those that have sent a request.
    fn longest_idle_requester(&self) -> Option<ConnectionToken> {
        let first = EvictionCandidate::lowest_of(EvictionPriority::Requests);
        let end = EvictionCandidate::lowest_of(EvictionPriority::MidCommand);
        self.candidates.range(first..end).next().map(|candidate| candidate.token)
    }
}

impl ClientConnections {
    /// Closes a connection without pending replies; false if there is none.
    pub(super) fn evict_one(&mut self, context: &mut Context) -> bool {
        let Some(token) = self.eviction_queue.next_to_evict(context.now) else {
            return false;
        };
        log::debug!("evicting an idle client connection for another one");
        self.evict(token, context);
        true
    }

    /// Closes a connection whose descriptor is needed at once, unless a command has arrived meanwhile.
    fn evict(&mut self, token: ConnectionToken, context: &mut Context) {
        let Some(mut client) = self.take(token, context) else { return };
        let length_before = client.socket.input.len();
        match client.socket.read_available(MAX_INPUT) {
            Ok(StreamStatus::Open) if client.socket.input.len() > length_before && !client.is_lingering() => {
                self.advance(token, client, context);
            }
            _ => self.drop_connection(token, client, context),
        }
    }

    /// Closes the longest idle connections of clients that have sent a request while there are too many of
    /// them. Some clients keep a connection for good after a single request, and others could not connect.
    pub(crate) fn close_excess_requesters(&mut self, context: &mut Context) {
        while self.requesters > self.limits.requesters {
            let Some(token) = self.eviction_queue.longest_idle_requester() else { return };
            log::debug!("closing an idle client connection: too many have sent requests");
            self.close_idle(token, context);
        }
    }
}
