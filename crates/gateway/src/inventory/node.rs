//! A node as an inventory describes it.

use crate::endpoint::{EndpointRecord, Protocol};
use std::net::SocketAddr;

/// One node of an inventory.
#[derive(Clone, Debug, PartialEq)]
pub struct InventoryNode {
    /// The node in the form of an endpoint list's entry.
    pub record: EndpointRecord,
    /// Its address.
    pub address: SocketAddr,
    /// Its protocol.
    pub protocol: Protocol,
}
