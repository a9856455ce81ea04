//! Updates of the endpoint list as discovery and the configuration spell them.
//!
//! The names of the wire stand in this module only: its types are what serde decodes, and they are
//! converted to the types of `update` and `record` as soon as they are decoded.

use super::record::EndpointRecord;
use super::update::{EndpointEntry, EndpointListUpdate};
use deployment_settings::micros;
use io_scheduler::{EndpointStatus, Micros, Shard};
use serde::{Deserialize, Deserializer};

/// One update of the endpoint list.
#[derive(Deserialize)]
struct WireUpdate {
    /// Version of the list after this update.
    #[serde(default)]
    index: u64,
    /// Whether this is the complete list.
    #[serde(default)]
    snapshot: bool,
    /// The entries.
    #[serde(default)]
    endpoints: Vec<WireEntry>,
}

/// One node in an update.
#[derive(Deserialize)]
struct WireEntry {
    /// Name of the node.
    name: String,
    /// Its IP address with a port.
    address: String,
    /// Zone of the node.
    #[serde(default)]
    zone: String,
    /// Shard that the node stores.
    #[serde(default, rename = "group")]
    shard: u64,
    /// Whether the node takes requests.
    status: WireStatus,
    /// When its process last started, in milliseconds; 0 if this is not known.
    #[serde(default, rename = "since_ms")]
    started_at_ms: f64,
}

/// Status of a node.
#[derive(Deserialize)]
#[serde(rename_all = "snake_case")]
enum WireStatus {
    /// The node takes requests.
    InService,
    /// The node is draining: it completes its requests and takes no new ones.
    #[serde(rename = "terminating")]
    Draining,
    /// The node is removed.
    #[serde(rename = "terminated")]
    Removed,
    /// A status of a later version.
    #[serde(other)]
    Unknown,
}

impl<'de> Deserialize<'de> for EndpointListUpdate {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<EndpointListUpdate, D::Error> {
        WireUpdate::deserialize(deserializer).map(EndpointListUpdate::from)
    }
}

impl From<WireUpdate> for EndpointListUpdate {
    fn from(update: WireUpdate) -> EndpointListUpdate {
        EndpointListUpdate {
            index: update.index,
            is_complete: update.snapshot,
            endpoints: update
                .endpoints
                .into_iter()
                .map(EndpointEntry::from)
                .collect(),
        }
    }
}

impl From<WireEntry> for EndpointEntry {
    fn from(entry: WireEntry) -> EndpointEntry {
        EndpointEntry {
            address: entry.address,
            record: EndpointRecord {
                name: entry.name,
                zone: entry.zone,
                shard: Shard(entry.shard),
                status: entry.status.into(),
                started_at: started_at(entry.started_at_ms),
            },
        }
    }
}

impl From<WireStatus> for EndpointStatus {
    fn from(status: WireStatus) -> EndpointStatus {
        match status {
            WireStatus::InService => EndpointStatus::InService,
            // A node of unknown status gets no new requests, which is safe whatever the status
            // means.
            WireStatus::Draining | WireStatus::Unknown => EndpointStatus::Draining,
            WireStatus::Removed => EndpointStatus::Removed,
        }
    }
}

/// When a node's process last started; `None` if the wire states 0 or no valid time.
fn started_at(started_at_ms: f64) -> Option<Micros> {
    if started_at_ms > 0.0 {
        Some(micros(started_at_ms))
    } else {
        None
    }
}
