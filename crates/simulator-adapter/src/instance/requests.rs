//! The table of tracked requests: those that messages can still refer to.

use crate::wire::RequestName;
use io_scheduler::RequestId;
use std::collections::HashMap;

/// A request that is open or has attempts in flight.
struct TrackedRequest {
    /// Name of the request on the wire.
    name: RequestName,
    /// Number of attempts that were dispatched and whose outcome has not been received.
    attempts_in_flight: u32,
    /// Whether the client is still waiting for the final response.
    is_open: bool,
}

/// The tracked requests, by name and by id. A request is tracked until it is closed and has no
/// attempts in flight.
#[derive(Default)]
pub struct RequestTable {
    /// The id of each name. If several requests have used a name, the id is that of the newest.
    ids: HashMap<RequestName, RequestId>,
    /// The requests by id.
    tracked: HashMap<RequestId, TrackedRequest>,
    /// The id of the next request.
    next_id: u64,
}

impl RequestTable {
    /// Adds an open request. If the name is already in use, it refers to the new request from now
    /// on.
    pub fn add(&mut self, name: RequestName) -> RequestId {
        let id = RequestId(self.next_id);
        self.next_id += 1;
        self.ids.insert(name.clone(), id);
        let request = TrackedRequest {
            name,
            attempts_in_flight: 0,
            is_open: true,
        };
        self.tracked.insert(id, request);
        id
    }

    /// Returns the id of a request; `None` if it is not tracked.
    #[must_use]
    pub fn id(&self, name: &RequestName) -> Option<RequestId> {
        self.ids.get(name).copied()
    }

    /// Returns the name of a request; `None` if it is not tracked.
    #[must_use]
    pub fn name(&self, id: RequestId) -> Option<&RequestName> {
        let request = self.tracked.get(&id)?;
        Some(&request.name)
    }

    /// Closes a request that has its final response or no longer needs one. Returns its name;
    /// `None` if it is not tracked.
    pub fn close(&mut self, id: RequestId) -> Option<&RequestName> {
        let request = self.tracked.get_mut(&id)?;
        request.is_open = false;
        Some(&request.name)
    }

    /// Closes the request with this name and returns its id; `None` if it is not tracked.
    pub fn close_by_name(&mut self, name: &RequestName) -> Option<RequestId> {
        let id = self.id(name)?;
        self.close(id)?;
        Some(id)
    }

    /// Adds one to the attempts in flight of a request. Returns the name of the request; `None` if
    /// it is not tracked.
    pub fn start_attempt(&mut self, id: RequestId) -> Option<&RequestName> {
        let request = self.tracked.get_mut(&id)?;
        request.attempts_in_flight += 1;
        Some(&request.name)
    }

    /// Subtracts one from the attempts in flight of a request. The count stays at 0 if the
    /// simulator reports more outcomes than there were attempts.
    pub fn end_attempt(&mut self, id: RequestId) {
        if let Some(request) = self.tracked.get_mut(&id) {
            request.attempts_in_flight = request.attempts_in_flight.saturating_sub(1);
        }
    }

    /// Stops tracking the closed requests that have no attempts in flight.
    pub fn remove_finished(&mut self) {
        self.tracked
            .retain(|_, request| request.is_open || request.attempts_in_flight > 0);
        self.ids.retain(|_, id| self.tracked.contains_key(id));
    }
}
