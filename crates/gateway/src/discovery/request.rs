//! The HTTP request that opens a watch.

use std::net::SocketAddr;

/// Encodes the request that opens a watch on the endpoint list. The discovery service responds
/// with the changes made after the list version `after_version`.
#[must_use]
pub fn watch_request(host: &SocketAddr, after_version: u64) -> String {
    format!(
        "GET /v1/servers?watch=1&from={after_version} HTTP/1.1\r\n\
         Host: {host}\r\n\
         Accept: application/json\r\n\
         \r\n"
    )
}
