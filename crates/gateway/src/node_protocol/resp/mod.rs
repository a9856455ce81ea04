//! RESP2 towards storage nodes: one command that reads and one that writes.
//!
//! [`RespProtocol`] encodes requests. Replies are decoded in layers: `reader` reads RESP2 values,
//! `reply` turns them into the result of a request, and `usage_report` decodes the report that a
//! reply contains. The names on the wire are in `crate::resp_wire_names`.

mod protocol;
mod reader;
mod reply;
mod usage_report;

pub use protocol::RespProtocol;
