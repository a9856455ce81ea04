//! RESP2 protocol for storage nodes: a command that reads an object and one that writes an object.
//!
//! [`RespProtocol`] encodes requests. Replies are decoded in layers: `reader` reads RESP2 values,
//! `reply` converts them to the result of a request, `usage_report` parses the usage report of a
//! reply, and `duplicate_replies` recognizes replies that a node sends twice. The names on the wire
//! are defined in `crate::resp_wire_names`.

mod duplicate_replies;
mod protocol;
mod reader;
mod reply;
mod usage_report;

pub use protocol::RespProtocol;
