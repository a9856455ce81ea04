//! The endpoint list: its entries and its updates, in the form that discovery, the inventory, the
//! configuration and the dispatcher share. This module imports none of these four.

mod protocol;
mod record;
mod update;
mod wire;

pub use protocol::Protocol;
pub use record::EndpointRecord;
pub use update::{EndpointEntry, EndpointListUpdate, ListedEndpoint};
