//! Discovery: the watch on the endpoint list. Its response is HTTP/1.1 with a body that is an
//! unbounded stream of JSON objects, each an update of the list.

mod error;
mod framing;
mod json_stream;
mod request;
mod watch_parser;

pub use error::{FramingError, WatchError};
pub use request::watch_request;
pub use watch_parser::WatchParser;
