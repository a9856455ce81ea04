//! RESP2 towards clients: a command that reads, one that writes, and fixed answers to the few
//! commands that client libraries send by themselves.
//!
//! [`RespProtocol`] runs a command in these steps: `command_parser` splits the input into
//! arguments, `parameters` decodes the list of parameters, `request` validates all of them against
//! the [`RequestSchema`] and builds the request, and `reply` encodes what is sent back. The names
//! on the wire are in `crate::resp_wire_names`.

mod command_parser;
mod error;
mod parameters;
mod protocol;
mod reply;
mod request;
mod schema;

pub use command_parser::MAX_COMMAND_BYTES;
pub use protocol::RespProtocol;
pub use schema::RequestSchema;
