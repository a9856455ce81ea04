//! The endpoint list: the nodes, the node that holds each shard, whether the list may be used, and
//! the schedule of polls for it.

mod list_confirmation;
mod node_table;
mod polling;

pub use list_confirmation::ListConfirmation;
pub use node_table::NodeTable;
pub use polling::EndpointPolling;
