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
    /// Part of a command that may still be completed. Used only in the eviction queue, where it is
    /// evicted last.
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
        Self::active_since(rank, Micros::MIN)
    }

    /// Returns the lower bound of the range of candidates with this rank that made progress at or
    /// after `since`.
    fn active_since(rank: EvictionRank, since: Micros) -> EvictionCandidate {
        EvictionCandidate {
            rank,
            last_active_at: since,
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

    /// Returns the connections in the order in which they are evicted for a new one: by rank, and
    /// the longest idle one first among equal ranks. Connections without a command that were
    /// accepted within [`FIRST_COMMAND_GRACE`] come after those that have sent one.
    pub(super) fn in_order_of_eviction(
        &self,
        now: Micros,
    ) -> impl Iterator<Item = ConnectionToken> + '_ {
        let grace_start = now - FIRST_COMMAND_GRACE;
        let new = EvictionCandidate::active_since(EvictionRank::NoCommand, grace_start + 1);
        let with_command = EvictionCandidate::range_start(EvictionRank::SentCommand);
        let partial = EvictionCandidate::range_start(EvictionRank::PartialCommand);
        self.candidates
            .range(..new)
            .chain(self.candidates.range(with_command..partial))
            .chain(self.candidates.range(new..with_command))
            .chain(self.candidates.range(partial..))
            .map(|candidate| candidate.token)
    }

    /// Returns the connections that have sent a request, the longest idle one first.
    pub(super) fn idle_requesting_clients(&self) -> impl Iterator<Item = ConnectionToken> + '_ {
        let first = EvictionCandidate::range_start(EvictionRank::SentRequest);
        let end = EvictionCandidate::range_start(EvictionRank::PartialCommand);
        self.candidates
            .range(first..end)
            .map(|candidate| candidate.token)
    }
}
