//! Inventories of nodes as configuration tools keep them: CSV, or YAML with groups, hosts and vars.

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

/// Protocol that a node speaks.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Protocol {
    /// Redis' protocol, version 2.
    #[default]
    Resp2,
    /// SFTP, version 3.
    Sftp,
}

/// One node of an inventory.
#[derive(Clone, Debug, PartialEq)]
pub struct InventoryNode {
    /// The node as an endpoint list would name it.
    pub record: EndpointRecord,
    /// Its address.
    pub address: SocketAddr,
    /// Protocol that it speaks.
    pub protocol: Protocol,
}

/// Reads an inventory; the extension of the file's name states the format.
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
