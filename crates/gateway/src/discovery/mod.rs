//! Discovery: the watch on its endpoint list, an HTTP/1.1 response whose body is a stream of JSON objects.

mod endpoint_list;
mod error;
mod json_stream;
mod watch_parser;

pub use endpoint_list::{EndpointEntry, EndpointEntryStatus, EndpointListUpdate};
pub use error::WatchError;
pub use watch_parser::WatchParser;

use std::net::SocketAddr;

/// The HTTP request that opens a watch on the endpoint list, from the version `from` on.
#[must_use]
pub fn watch_request(host: &SocketAddr, from: u64) -> String {
    format!(
        "GET /v1/servers?watch=1&from={from} HTTP/1.1\r\nHost: {host}\r\nAccept: application/json\r\n\r\n"
    )
}
