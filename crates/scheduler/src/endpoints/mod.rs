//! The endpoint list: which nodes there are, which of them holds each shard, and when to poll for
//! the list.

mod node_table;
mod polling;

pub use node_table::NodeTable;
pub use polling::EndpointPolling;
