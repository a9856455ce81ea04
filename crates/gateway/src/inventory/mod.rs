//! Inventories of storage nodes in the formats of configuration tools: CSV, or YAML in the
//! structure of an Ansible inventory, with groups, hosts and vars (the variables of a host or
//! group).

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
