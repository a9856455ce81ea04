//! The order in which idle client connections are evicted.

use crate::connection_token::ConnectionToken;
use io_scheduler::Micros;
use std::collections::BTreeSet;

/// The first command of a connection that was accepted less than this long ago, in microseconds,
/// may still be in transit.
const FIRST_COMMAND_GRACE: Micros = 50_000;

/// What a client has sent so far. Connections of the lowest priority are evicted first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum EvictionPriority {
    /// No complete command yet.
    Silent,
    /// Complete commands, but none with a request to a storage node.
    Commands,
    /// Commands with requests to storage nodes.
    Requests,
    /// Part of a command that may still become complete. Used in the eviction queue only.
    MidCommand,
}

/// A connection that may be evicted. Candidates are evicted in their order, which compares the
/// fields in the order of their declaration.
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
    /// Start of the range of this priority: it sorts before every connection of it.
    fn first_of(priority: EvictionPriority) -> EvictionCandidate {
        EvictionCandidate {
            priority,
            last_active_at: Micros::MIN,
            token: ConnectionToken::MIN,
        }
    }
}

/// The connections that have no reply pending and may be evicted.
#[derive(Debug, Default)]
pub(super) struct EvictionQueue {
    /// The connections, in the order of eviction.
    candidates: BTreeSet<EvictionCandidate>,
}

impl EvictionQueue {
    /// Adds a connection.
    pub(super) fn insert(&mut self, candidate: EvictionCandidate) {
        self.candidates.insert(candidate);
    }

    /// Removes a connection by the entry with which it was added.
    pub(super) fn remove(&mut self, candidate: &EvictionCandidate) {
        self.candidates.remove(candidate);
    }

    /// The connection to evict for a new one: the first candidate, unless it was active within
    /// [`FIRST_COMMAND_GRACE`]. In that case the first candidate that has sent a command is
    /// preferred, if there is one.
    pub(super) fn next_to_evict(&self, now: Micros) -> Option<ConnectionToken> {
        let first = self.candidates.first()?;
        if now - first.last_active_at >= FIRST_COMMAND_GRACE {
            return Some(first.token);
        }
        let with_commands = EvictionCandidate::first_of(EvictionPriority::Commands);
        let first_with_commands = self.candidates.range(with_commands..).next();
        Some(first_with_commands.unwrap_or(first).token)
    }

    /// The connection that has been idle for longest among those that have sent a request.
    pub(super) fn longest_idle_requester(&self) -> Option<ConnectionToken> {
        let first = EvictionCandidate::first_of(EvictionPriority::Requests);
        let end = EvictionCandidate::first_of(EvictionPriority::MidCommand);
        self.candidates
            .range(first..end)
            .next()
            .map(|candidate| candidate.token)
    }
}
