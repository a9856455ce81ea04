//! One entry of the endpoint list, as discovery, the inventory and the dispatcher share it.

use io_scheduler::{EndpointStatus, Micros};

/// A storage node as an endpoint list names it, without its address.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointRecord {
    /// Name of the node; it stays the same over restarts.
    pub name: String,
    /// Zone of the node.
    pub zone: String,
    /// Shard that the node holds.
    pub shard: u64,
    /// Whether the node takes requests.
    pub status: EndpointStatus,
    /// When its process last started, if the list states it.
    pub started_at: Option<Micros>,
}
