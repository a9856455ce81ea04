//! The endpoint list: the nodes, the node that holds each shard, and the schedule of polls for the
//! list.

mod node_table;
mod polling;

pub use node_table::NodeTable;
pub use polling::EndpointPolling;
