//! An entry of the endpoint list.

use io_scheduler::{EndpointStatus, Micros, Shard};

/// A storage node in the endpoint list, without its address, because the dispatcher does not manage
/// connections.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointRecord {
    /// Name of the node, which does not change when the node restarts.
    pub name: String,
    /// Name of the node's zone.
    pub zone: String,
    /// The shard whose objects the node stores.
    pub shard: Shard,
    /// Whether the node is in service, draining or removed.
    pub status: EndpointStatus,
    /// When the node's process last started, in microseconds since the Unix epoch; `None` if the
    /// list does not state it.
    pub started_at: Option<Micros>,
}
