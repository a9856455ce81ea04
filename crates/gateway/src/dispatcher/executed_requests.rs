//! The client request ids of finished requests that must not be executed again.
//!
//! Each request has a new id, also a client's retry. An id comes again only if the client could not
//! know whether its request was read: the connection was closed while the request was on its way.
//! If the gateway has read it, and a node may have executed it, a second execution of a request
//! that is not idempotent would take effect twice.

use io_scheduler::{Micros, TableSize};
use std::collections::{HashMap, VecDeque};
use std::hash::{BuildHasher, RandomState};

/// How long an id is remembered after its request has finished, in microseconds.
const RETENTION: Micros = 60_000_000;

/// The remembered ids. Each is stored as a hash with a random key, so that its memory does not
/// depend on its length.
#[derive(Debug)]
pub(super) struct ExecutedRequests {
    /// When the request of each id finished, by the hash of the id.
    finished_at: HashMap<u64, Micros>,
    /// The hashes in the order in which their requests finished.
    by_time: VecDeque<(Micros, u64)>,
    /// Computes the hashes.
    hash_key: RandomState,
    /// Maximum number of remembered ids.
    limit: usize,
    /// Number of ids that were forgotten before the end of [`RETENTION`].
    evicted: u64,
}

impl ExecutedRequests {
    /// Creates an empty table for this many ids.
    pub(super) fn new(limit: usize) -> ExecutedRequests {
        ExecutedRequests {
            finished_at: HashMap::new(),
            by_time: VecDeque::new(),
            hash_key: RandomState::new(),
            limit,
            evicted: 0,
        }
    }

    /// Returns whether the id is that of a remembered request.
    pub(super) fn contains(&self, client_request_id: &str, now: Micros) -> bool {
        let hash = self.hash_key.hash_one(client_request_id);
        self.finished_at
            .get(&hash)
            .is_some_and(|finished_at| now - finished_at <= RETENTION)
    }

    /// Remembers the id of a request that finished now. If there are too many, the one that
    /// finished first is forgotten.
    pub(super) fn record(&mut self, client_request_id: &str, now: Micros) {
        let hash = self.hash_key.hash_one(client_request_id);
        if self.finished_at.insert(hash, now).is_some() {
            self.by_time.retain(|(_, other)| *other != hash);
        }
        self.by_time.push_back((now, hash));
        self.forget_expired(now);
        while self.by_time.len() > self.limit {
            self.forget_first();
            self.evicted += 1;
        }
    }

    /// Returns the number of remembered ids, its limit and the number of ids forgotten early.
    pub(super) fn size(&self) -> TableSize {
        TableSize {
            entries: self.by_time.len(),
            limit: self.limit,
            evicted: self.evicted,
        }
    }

    /// Forgets the ids whose time has passed.
    fn forget_expired(&mut self, now: Micros) {
        while self
            .by_time
            .front()
            .is_some_and(|(finished_at, _)| now - finished_at > RETENTION)
        {
            self.forget_first();
        }
    }

    /// Forgets the id whose request finished first.
    fn forget_first(&mut self) {
        if let Some((_, hash)) = self.by_time.pop_front() {
            self.finished_at.remove(&hash);
        }
    }
}
