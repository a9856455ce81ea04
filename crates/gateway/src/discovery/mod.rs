//! Discovery: the watch on the endpoint list. Its response is HTTP/1.1 with a body that is an unbounded stream of
//! JSON objects, each an update of the list.

mod endpoint_list;
mod error;
mod json_stream;
mod watch_parser;

pub use endpoint_list::{EndpointEntry, EndpointEntryStatus, EndpointListUpdate, ListedEndpoint};
pub use error::WatchError;
pub use watch_parser::WatchParser;

use std::net::SocketAddr;

/// Encodes the HTTP request that opens a watch on the endpoint list, starting from the version `from`.
#[must_use]
pub fn watch_request(host: &SocketAddr, from: u64) -> String {
    format!(
        "GET /v1/servers?watch=1&from={from} HTTP/1.1\r\nHost: {host}\r\nAccept: application/json\r\n\r\n"
    )
}
