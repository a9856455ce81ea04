//! Updates of the endpoint list.

use super::record::EndpointRecord;
use io_scheduler::EndpointListEvent;
use std::net::SocketAddr;

/// An update of the endpoint list: either the complete list, or only the entries that changed.
///
/// It is deserialized through the types in `wire`, which have the names of the wire format.
#[derive(Clone, Debug, Default)]
pub struct EndpointListUpdate {
    /// Version of the list after this update.
    pub version: u64,
    /// Whether this is the complete list.
    pub is_complete: bool,
    /// The entries.
    pub endpoints: Vec<EndpointEntry>,
}

/// One node in an update of the endpoint list.
#[derive(Clone, Debug)]
pub struct EndpointEntry {
    /// The node as the update describes it.
    pub record: EndpointRecord,
    /// IP address and port of the node. An address that cannot be parsed invalidates only this
    /// entry, not the update; see [`EndpointListUpdate::listed_endpoints`].
    pub address: String,
}

/// A node in an update, with its address parsed.
#[derive(Clone, Debug, PartialEq)]
pub struct ListedEndpoint {
    /// The node as the endpoint list describes it.
    pub record: EndpointRecord,
    /// Its address.
    pub address: SocketAddr,
}

impl EndpointListUpdate {
    /// Returns the event that is reported to the scheduler: a snapshot if the update replaces the
    /// list, a delta if it changes some entries.
    #[must_use]
    pub fn event(&self) -> EndpointListEvent {
        if self.is_complete {
            EndpointListEvent::Snapshot
        } else {
            EndpointListEvent::Delta
        }
    }

    /// Returns the entries with their addresses parsed. An entry whose address cannot be parsed is
    /// skipped with a warning.
    pub fn listed_endpoints(&self) -> impl Iterator<Item = ListedEndpoint> + '_ {
        self.endpoints
            .iter()
            .filter_map(EndpointEntry::to_listed_endpoint)
    }
}

impl EndpointEntry {
    /// Parses the address of the entry. If that fails, logs a warning and returns `None`.
    fn to_listed_endpoint(&self) -> Option<ListedEndpoint> {
        let Ok(address) = self.address.parse() else {
            log::warn!(
                "endpoint list: skipping node {}: invalid address '{}'",
                self.record.name,
                self.address
            );
            return None;
        };
        Some(ListedEndpoint {
            record: self.record.clone(),
            address,
        })
    }
}
