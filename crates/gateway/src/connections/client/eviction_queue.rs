//! The order in which idle client connections are evicted.

use crate::connection_token::ConnectionToken;
use io_scheduler::Micros;
use std::collections::BTreeSet;

/// Grace period, in microseconds, after a connection is accepted. Its first command may still be in
/// transit, so other connections are evicted in preference to it.
const FIRST_COMMAND_GRACE: Micros = 50_000;

/// Rank of an idle connection in the order of eviction, by what its client has sent so far. The
/// first variant is evicted first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum EvictionRank {
    /// No complete command.
    NoCommand,
    /// At least one complete command, but no request to a storage node.
    SentCommand,
    /// At least one request to a storage node.
    SentRequest,
    /// Part of a command that may still be completed. Used only in the eviction queue.
    PartialCommand,
}

/// A connection that may be evicted. Candidates are evicted in ascending order. The derived order
/// compares the fields in the order of their declaration, so they must not be reordered.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct EvictionCandidate {
    /// Rank in the order of eviction.
    pub(super) rank: EvictionRank,
    /// When the connection last made progress; among equal ranks, the longest idle one is evicted
    /// first.
    pub(super) last_active_at: Micros,
    /// The connection's token. Makes the order total.
    pub(super) token: ConnectionToken,
}

impl EvictionCandidate {
    /// Returns the lower bound of the range of candidates with this rank.
    fn range_start(rank: EvictionRank) -> EvictionCandidate {
        EvictionCandidate {
            rank,
            last_active_at: Micros::MIN,
            token: ConnectionToken::MIN,
        }
    }
}

/// The connections that may be evicted, none of which has a pending reply.
#[derive(Debug, Default)]
pub(super) struct EvictionQueue {
    /// The connections in the order of eviction.
    candidates: BTreeSet<EvictionCandidate>,
}

impl EvictionQueue {
    /// Adds a connection.
    pub(super) fn insert(&mut self, candidate: EvictionCandidate) {
        self.candidates.insert(candidate);
    }

    /// Removes a connection. `candidate` must equal the entry that was added.
    pub(super) fn remove(&mut self, candidate: &EvictionCandidate) {
        self.candidates.remove(candidate);
    }

    /// Returns the connection to evict for a new one. This is the first candidate, unless it made
    /// progress within [`FIRST_COMMAND_GRACE`]. In that case, the first candidate that has sent a
    /// command is preferred, if there is one.
    pub(super) fn next_to_evict(&self, now: Micros) -> Option<ConnectionToken> {
        let first = self.candidates.first()?;
        if now - first.last_active_at >= FIRST_COMMAND_GRACE {
            return Some(first.token);
        }
        let with_commands = EvictionCandidate::range_start(EvictionRank::SentCommand);
        let first_with_commands = self.candidates.range(with_commands..).next();
        Some(first_with_commands.unwrap_or(first).token)
    }

    /// Returns the connection that has been idle for longest among those that have sent a request.
    pub(super) fn longest_idle_requesting_client(&self) -> Option<ConnectionToken> {
        let first = EvictionCandidate::range_start(EvictionRank::SentRequest);
        let end = EvictionCandidate::range_start(EvictionRank::PartialCommand);
        self.candidates
            .range(first..end)
            .next()
            .map(|candidate| candidate.token)
    }
}
