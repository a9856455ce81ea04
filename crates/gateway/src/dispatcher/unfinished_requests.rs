//! The table of unfinished requests, whose size the memory budget limits.

use super::unfinished_request::{AwaitedAttempt, UnfinishedRequest};
use crate::memory_budget::MemoryBudget;
use crate::storage_request::{AttemptId, StorageRequest};
use io_scheduler::{RequestId, TableSize};
use std::collections::{HashMap, HashSet};

/// The unfinished requests, within the limits of the memory budget.
#[derive(Debug)]
pub(super) struct UnfinishedRequests {
    /// The requests by id.
    requests: HashMap<RequestId, UnfinishedRequest>,
    /// The client request ids of `requests`.
    client_request_ids: HashSet<Box<str>>,
    /// Number of the next request id.
    next_id: u64,
    /// Total of [`StorageRequest::buffered_bytes`] of `requests`.
    buffered_bytes: usize,
    /// Limits the number of `requests` and the total size of their texts and bodies.
    budget: MemoryBudget,
}

impl UnfinishedRequests {
    /// Creates an empty table with the limits of `budget`.
    pub(super) fn new(budget: MemoryBudget) -> UnfinishedRequests {
        UnfinishedRequests {
            requests: HashMap::new(),
            client_request_ids: HashSet::new(),
            next_id: 0,
            buffered_bytes: 0,
            budget,
        }
    }

    /// Returns a request id that was never used before.
    pub(super) fn allocate_id(&mut self) -> RequestId {
        let id = RequestId(self.next_id);
        self.next_id += 1;
        id
    }

    /// Returns whether a request with this client request id is unfinished.
    pub(super) fn contains_client_request_id(&self, client_request_id: &str) -> bool {
        self.client_request_ids.contains(client_request_id)
    }

    /// Returns whether the memory budget allows another request.
    pub(super) fn has_capacity(&self, request: &StorageRequest) -> bool {
        self.requests.len() < self.budget.max_requests
            && self.buffered_bytes + request.buffered_bytes() <= self.budget.request_bytes
    }

    /// Adds a request. Its client request id must not be that of another unfinished request.
    pub(super) fn insert(&mut self, id: RequestId, unfinished: UnfinishedRequest) {
        let request = unfinished.storage_request();
        self.buffered_bytes += request.buffered_bytes();
        self.client_request_ids
            .insert(request.client_request_id.clone());
        self.requests.insert(id, unfinished);
    }

    /// Returns the unfinished request with this id.
    pub(super) fn get(&self, id: RequestId) -> Option<&UnfinishedRequest> {
        self.requests.get(&id)
    }

    /// Returns the unfinished request with this id.
    pub(super) fn get_mut(&mut self, id: RequestId) -> Option<&mut UnfinishedRequest> {
        self.requests.get_mut(&id)
    }

    /// Returns the attempt with this id, if its result is awaited.
    pub(super) fn attempt(&self, id: AttemptId) -> Option<&AwaitedAttempt> {
        self.requests.get(&id.request)?.attempt(id.number)
    }

    /// Returns the attempt with this id, if its result is awaited.
    pub(super) fn attempt_mut(&mut self, id: AttemptId) -> Option<&mut AwaitedAttempt> {
        self.requests.get_mut(&id.request)?.attempt_mut(id.number)
    }

    /// Removes a request if it awaits neither a final response nor the result of an attempt, and
    /// returns it.
    pub(super) fn remove_finished(&mut self, id: RequestId) -> Option<UnfinishedRequest> {
        if !self.requests.get(&id)?.is_finished() {
            return None;
        }
        let removed = self.requests.remove(&id)?;
        let request = removed.storage_request();
        self.buffered_bytes -= request.buffered_bytes();
        self.client_request_ids.remove(&request.client_request_id);
        Some(removed)
    }

    /// Returns the number of requests and its limit; none is evicted.
    pub(super) fn size(&self) -> TableSize {
        TableSize {
            entries: self.requests.len(),
            limit: self.budget.max_requests,
            evicted: 0,
        }
    }

    /// Returns the number of requests that have no final response yet.
    pub(super) fn awaiting_response_count(&self) -> usize {
        self.requests
            .values()
            .filter(|request| request.awaits_response())
            .count()
    }
}
