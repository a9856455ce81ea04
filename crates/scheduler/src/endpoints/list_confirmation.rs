//! Whether the endpoint list may be used, and the host serve clients.
//!
//! A host that starts has only the list that it cached before, which may be out of date: nodes may
//! have started to drain while the host was down. The host counts as notified of such a change a
//! stated time after the change, however late it starts. A list that is reported as unconfirmed is
//! therefore not used, and no clients are accepted, until discovery has confirmed or replaced the
//! list, or could not be reached.

use crate::api::EndpointListEvent;

/// State of the endpoint list.
#[derive(Default)]
pub struct ListConfirmation {
    /// Whether the list is unconfirmed, and no poll has ended since.
    is_unconfirmed: bool,
}

impl ListConfirmation {
    /// Records an update of the endpoint list, or the failure of a poll or watch. Returns whether
    /// an unconfirmed list may be used from now on. A watch that is closed before its first update,
    /// because discovery has a new address, confirms nothing.
    pub fn record(&mut self, event: EndpointListEvent) -> bool {
        let was_unconfirmed = self.is_unconfirmed;
        match event {
            EndpointListEvent::Unconfirmed => self.is_unconfirmed = true,
            EndpointListEvent::WatchLost => {}
            EndpointListEvent::Cached
            | EndpointListEvent::Snapshot
            | EndpointListEvent::Delta
            | EndpointListEvent::PollFailed => self.is_unconfirmed = false,
        }
        was_unconfirmed && !self.is_unconfirmed
    }

    /// Returns whether requests may be dispatched to the nodes of the list.
    pub fn allows_dispatch(&self) -> bool {
        !self.is_unconfirmed
    }
}
