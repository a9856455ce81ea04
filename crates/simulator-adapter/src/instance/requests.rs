//! The table of requests that messages may still refer to.

use io_scheduler::RequestId;
use std::collections::HashMap;

/// A request that is open or has attempts in flight.
pub struct TrackedRequest {
    /// Name of the request on the wire.
    pub name: String,
    /// Number of dispatched attempts whose outcome has not been received.
    pub attempts_in_flight: u32,
    /// Whether the client still waits for the final response.
    pub open: bool,
}

/// Requests by their names on the wire and by their ids.
#[derive(Default)]
pub struct RequestTable {
    ids: HashMap<String, RequestId>,
    tracked: HashMap<RequestId, TrackedRequest>,
    next_id: u64,
}

impl RequestTable {
    /// Adds an open request. If its name is already in use, the name refers to the new request from now on.
    pub fn add(&mut self, name: String) -> RequestId {
        let id = RequestId(self.next_id);
        self.next_id += 1;
        self.ids.insert(name.clone(), id);
        self.tracked.insert(
            id,
            TrackedRequest {
                name,
                attempts_in_flight: 0,
                open: true,
            },
        );
        id
    }

    /// The id of a request; `None` if it is no longer tracked.
    #[must_use]
    pub fn id(&self, name: &str) -> Option<RequestId> {
        self.ids.get(name).copied()
    }

    /// A request by its id; `None` if it is no longer tracked.
    pub fn get_mut(&mut self, id: RequestId) -> Option<&mut TrackedRequest> {
        self.tracked.get_mut(&id)
    }

    /// Closes a request and returns its id; `None` if it is no longer tracked.
    pub fn close(&mut self, name: &str) -> Option<RequestId> {
        let id = self.id(name)?;
        self.get_mut(id)?.open = false;
        Some(id)
    }

    /// Removes the closed requests that have no attempt in flight.
    pub fn remove_finished(&mut self) {
        self.tracked
            .retain(|_, request| request.open || request.attempts_in_flight > 0);
        self.ids.retain(|_, id| self.tracked.contains_key(id));
    }
}
