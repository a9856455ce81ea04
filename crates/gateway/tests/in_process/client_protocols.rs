//! Replies that a client protocol encodes without a request.

use deployment_settings::DeploymentSettings;
use storage_gateway::client_protocol::resp::{RequestSchema, RespProtocol};
use storage_gateway::client_protocol::ClientProtocol;

/// A client whose incomplete command exceeds the memory budget gets a busy error with Retry-After.
#[test]
fn resp_overloaded_reply_has_a_retry_after_of_250_ms() {
    let protocol = RespProtocol::new(RequestSchema::new(&DeploymentSettings::default()));
    assert_eq!(protocol.overloaded_reply(), b"-BUSY 250\r\n");
}
