//! The protocol of the discovery service: a watch on the endpoint list. The response to a watch is
//! HTTP/1.1, and its body is an unbounded stream of JSON objects, each of which is an update of the
//! list.

mod error;
mod framing;
mod json_stream;
mod request;
mod watch_parser;

pub use error::{FramingError, WatchError};
pub use request::watch_request;
pub use watch_parser::WatchParser;
