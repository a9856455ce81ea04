//! Inventories of storage nodes in the formats of configuration tools: CSV, or YAML in the structure of an Ansible
//! inventory, with groups, hosts and vars (the variables of a host or group).

mod csv_format;
mod error;
mod vars;
mod yaml_format;

pub use csv_format::from_csv;
pub use error::{InvalidVar, InventoryError, Location};
pub use yaml_format::from_yaml;

use crate::endpoint::EndpointRecord;
use std::net::SocketAddr;
use std::path::Path;

/// Protocol of a storage node.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Protocol {
    /// RESP2, the Redis serialization protocol in version 2.
    #[default]
    Resp2,
    /// SFTP in version 3, without the SSH transport.
    Sftp,
}

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

/// Reads an inventory. The extension of the file name selects the format.
///
/// # Errors
///
/// Fails if the file cannot be read, its extension is not known, or its content is not a valid inventory.
pub fn read(path: &Path) -> Result<Vec<InventoryNode>, InventoryError> {
    let file = path.display().to_string();
    let text = match std::fs::read_to_string(path) {
        Ok(text) => text,
        Err(source) => return Err(InventoryError::Unreadable { file, source }),
    };
    match path.extension().and_then(|extension| extension.to_str()) {
        Some("csv") => from_csv(&text, &file),
        Some("yml" | "yaml") => from_yaml(&text, &file),
        _ => Err(InventoryError::UnknownFormat { file }),
    }
}
