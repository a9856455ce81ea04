//! One entry of the endpoint list, as discovery, the inventory and the dispatcher share it.

use io_scheduler::{EndpointStatus, Micros};

/// A storage node as an endpoint list states it, without its address.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointRecord {
    /// Name of the node, unchanged over restarts.
    pub name: String,
    /// Name of the node's zone.
    pub zone: String,
    /// Number of the shard whose objects the node stores.
    pub shard: u64,
    /// Whether the node is in service, draining or removed.
    pub status: EndpointStatus,
    /// When the node's process last started, if the list states it; in microseconds of the gateway's clock.
    pub started_at: Option<Micros>,
}
