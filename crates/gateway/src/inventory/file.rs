//! Reads inventory files.

use super::csv_format::from_csv;
use super::error::InventoryError;
use super::node::InventoryNode;
use super::yaml_format::from_yaml;
use std::path::Path;

/// Reads an inventory. The extension of the file name selects the format: `.csv`, `.yml` or
/// `.yaml`.
///
/// # Errors
///
/// Returns an error if the file cannot be read, its name has another extension, or its content is
/// not a valid inventory.
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
