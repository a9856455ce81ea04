//! Connections of clients and to storage nodes, and what they are made of.

pub mod node;
pub mod slab;
pub(crate) mod socket;
