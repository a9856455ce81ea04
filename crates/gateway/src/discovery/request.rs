//! The HTTP request that opens a watch.

use std::net::SocketAddr;

/// Encodes the request that opens a watch on the endpoint list. The discovery service responds
/// with the changes made after the list version `from`.
#[must_use]
pub fn watch_request(host: &SocketAddr, from: u64) -> String {
    format!(
        "GET /v1/servers?watch=1&from={from} HTTP/1.1\r\n\
         Host: {host}\r\n\
         Accept: application/json\r\n\
         \r\n"
    )
}
