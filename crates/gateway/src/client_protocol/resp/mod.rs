//! RESP2 protocol for clients: a command that reads an object, one that writes an object, and fixed
//! replies to the few commands that client libraries send on their own.
//!
//! [`RespProtocol`] processes a command in these steps: `command_parser` splits the input into
//! arguments, `parameters` parses the parameter list, `request` validates the arguments against the
//! [`RequestSchema`] and builds the request, and `reply` encodes the reply. The names on the wire
//! are defined in `crate::resp_wire_names`.

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
