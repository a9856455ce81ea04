//! Updates of the endpoint list in the form in which discovery sends them.

use crate::endpoint::EndpointRecord;
use deployment_settings::micros;
use io_scheduler::{EndpointListEvent, EndpointStatus};
use serde::Deserialize;
use std::net::SocketAddr;

/// One update of the endpoint list: the complete list, or the entries that changed.
#[derive(Clone, Debug, Default, Deserialize)]
pub struct EndpointListUpdate {
    /// Version of the list after this update.
    #[serde(default)]
    pub index: u64,
    /// Whether this is the complete list.
    #[serde(default)]
    pub snapshot: bool,
    /// The entries.
    #[serde(default)]
    pub endpoints: Vec<EndpointEntry>,
}

/// One node in an update of the endpoint list.
#[derive(Clone, Debug, Deserialize)]
pub struct EndpointEntry {
    /// Name of the node.
    pub name: String,
    /// Its IP address with a port. Other text does not make the update invalid, only this entry; see
    /// [`EndpointListUpdate::listed_endpoints`].
    pub address: String,
    /// Zone of the node.
    #[serde(default)]
    pub zone: String,
    /// Shard that the node stores.
    #[serde(default)]
    pub group: u64,
    /// Whether the node takes requests.
    pub status: EndpointEntryStatus,
    /// When its process last started, in milliseconds; 0 if this is not known.
    #[serde(default)]
    pub since_ms: f64,
}

/// A node of an update, with its address.
#[derive(Clone, Debug, PartialEq)]
pub struct ListedEndpoint {
    /// The node as the endpoint list describes it.
    pub record: EndpointRecord,
    /// Its address.
    pub address: SocketAddr,
}

/// Status of a node, as discovery spells it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EndpointEntryStatus {
    /// The node takes requests.
    InService,
    /// The node is draining: it completes its requests and takes no new ones.
    Terminating,
    /// The node is removed.
    Terminated,
    /// A status of a later version. Such a node is treated as draining: it gets no new requests, which is
    /// safe whatever the status means.
    #[serde(other)]
    Other,
}

impl From<EndpointEntryStatus> for EndpointStatus {
    fn from(status: EndpointEntryStatus) -> EndpointStatus {
        match status {
            EndpointEntryStatus::InService => EndpointStatus::InService,
            EndpointEntryStatus::Terminating | EndpointEntryStatus::Other => {
                EndpointStatus::Draining
            }
            EndpointEntryStatus::Terminated => EndpointStatus::Removed,
        }
    }
}

impl EndpointEntry {
    /// The entry with its parsed address; logs a warning and returns `None` if the address cannot be parsed.
    fn to_listed_endpoint(&self) -> Option<ListedEndpoint> {
        let Ok(address) = self.address.parse() else {
            log::warn!(
                "discovery: node {} has no usable address '{}'",
                self.name,
                self.address
            );
            return None;
        };
        Some(ListedEndpoint {
            record: self.to_record(),
            address,
        })
    }

    /// The entry without its address.
    fn to_record(&self) -> EndpointRecord {
        EndpointRecord {
            name: self.name.clone(),
            zone: self.zone.clone(),
            shard: self.group,
            status: self.status.into(),
            started_at: (self.since_ms > 0.0).then(|| micros(self.since_ms)),
        }
    }
}

impl EndpointListUpdate {
    /// The scheduler's event for the update, by whether it replaces the list or changes entries of it.
    #[must_use]
    pub fn kind(&self) -> EndpointListEvent {
        if self.snapshot {
            EndpointListEvent::Snapshot
        } else {
            EndpointListEvent::Delta
        }
    }

    /// The entries with their parsed addresses. An entry whose address cannot be parsed is logged and left out.
    pub fn listed_endpoints(&self) -> impl Iterator<Item = ListedEndpoint> + '_ {
        self.endpoints
            .iter()
            .filter_map(EndpointEntry::to_listed_endpoint)
    }
}
