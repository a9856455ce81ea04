//! Updates of the endpoint list.

use super::record::EndpointRecord;
use io_scheduler::EndpointListEvent;
use std::net::SocketAddr;

/// One update of the endpoint list: the complete list, or the entries that changed.
///
/// It is decoded by way of the wire's own types, which are in `wire`.
#[derive(Clone, Debug, Default)]
pub struct EndpointListUpdate {
    /// Version of the list after this update.
    pub index: u64,
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
    /// Its IP address with a port. Other text does not make the update invalid, only this entry;
    /// see [`EndpointListUpdate::listed_endpoints`].
    pub address: String,
}

/// A node of an update, with its parsed address.
#[derive(Clone, Debug, PartialEq)]
pub struct ListedEndpoint {
    /// The node as the endpoint list describes it.
    pub record: EndpointRecord,
    /// Its address.
    pub address: SocketAddr,
}

impl EndpointListUpdate {
    /// The scheduler's event for the update, by whether it replaces the list or changes entries of
    /// it.
    #[must_use]
    pub fn kind(&self) -> EndpointListEvent {
        if self.is_complete {
            EndpointListEvent::Snapshot
        } else {
            EndpointListEvent::Delta
        }
    }

    /// The entries with their parsed addresses. An entry whose address cannot be parsed is logged
    /// and left out.
    pub fn listed_endpoints(&self) -> impl Iterator<Item = ListedEndpoint> + '_ {
        self.endpoints
            .iter()
            .filter_map(EndpointEntry::to_listed_endpoint)
    }
}

impl EndpointEntry {
    /// The entry with its parsed address; logs a warning and returns `None` if the address cannot
    /// be parsed.
    fn to_listed_endpoint(&self) -> Option<ListedEndpoint> {
        let Ok(address) = self.address.parse() else {
            log::warn!(
                "discovery: node {} has no usable address '{}'",
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
