//! Reads inventories of storage nodes.
//!
//! An inventory is a CSV file with one line for each node, or a YAML file with the structure of an
//! Ansible inventory: groups of hosts, with vars (variables) on groups and hosts.

mod csv_format;
mod error;
mod file;
mod node;
mod vars;
mod yaml_format;

pub use csv_format::from_csv;
pub use error::{InvalidVar, InventoryError, Location};
pub use file::read;
pub use node::InventoryNode;
pub use yaml_format::from_yaml;
