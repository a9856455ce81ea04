//! A storage node of an inventory.

use crate::endpoint::{EndpointRecord, Protocol};
use std::net::SocketAddr;

/// A storage node of an inventory.
#[derive(Clone, Debug, PartialEq)]
pub struct InventoryNode {
    /// The name, zone, shard, status and start time of the node, as in the endpoint list.
    pub record: EndpointRecord,
    /// Address to which the gateway connects.
    pub address: SocketAddr,
    /// Protocol that the node speaks.
    pub protocol: Protocol,
}
