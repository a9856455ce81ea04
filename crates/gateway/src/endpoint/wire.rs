//! Wire format of endpoint list updates, which the discovery service sends and the configuration
//! contains.
//!
//! The names of the wire format are used only in this module. Its types are decoded by serde and
//! immediately converted to the types of `update` and `record`.

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
    /// IP address and port of the node.
    address: String,
    /// Zone of the node.
    #[serde(default)]
    zone: String,
    /// Shard that the node stores.
    #[serde(default, rename = "group")]
    shard: u64,
    /// Whether the node accepts requests.
    status: WireStatus,
    /// When its process last started, in milliseconds since the Unix epoch; 0 if unknown.
    #[serde(default, rename = "since_ms")]
    started_at_ms: f64,
}

/// Status of a node.
#[derive(Deserialize)]
#[serde(rename_all = "snake_case")]
enum WireStatus {
    /// The node accepts requests.
    InService,
    /// The node is draining: it completes its current requests and accepts no new ones.
    #[serde(rename = "terminating")]
    Draining,
    /// The node is removed.
    #[serde(rename = "terminated")]
    Removed,
    /// A status that this version does not know.
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
            version: update.index,
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
            // A node with an unknown status gets no new requests, which is safe whatever the status
            // means.
            WireStatus::Draining | WireStatus::Unknown => EndpointStatus::Draining,
            WireStatus::Removed => EndpointStatus::Removed,
        }
    }
}

/// Converts the start time of a node's process to microseconds; `None` if it is 0 or invalid.
fn started_at(started_at_ms: f64) -> Option<Micros> {
    if started_at_ms > 0.0 {
        Some(micros(started_at_ms))
    } else {
        None
    }
}
