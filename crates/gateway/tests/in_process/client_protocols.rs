//! What the client protocols send without a request.

use deployment_settings::DeploymentSettings;
use storage_gateway::client_protocol::resp::{RequestSchema, RespProtocol};
use storage_gateway::client_protocol::ClientProtocol;

#[test]
fn an_overloaded_gateway_tells_a_resp_client_to_retry_after_250_ms() {
    let protocol = RespProtocol::new(RequestSchema::new(&DeploymentSettings::default()));
    assert_eq!(protocol.overloaded_reply(), b"-BUSY 250\r\n");
}
