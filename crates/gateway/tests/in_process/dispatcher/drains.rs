//! The drain grace period: how long the gateway may still send requests to a node that is
//! draining.

use super::harness::{endpoint_record, in_service_record, Harness, MS};
use crate::support::settings::deployment_settings;
use io_scheduler::EndpointStatus;
use storage_gateway::endpoint::EndpointRecord;
use storage_gateway::storage_request::Operation;

/// The drain grace period of the settings is 500 ms from the first entry that shows the node as
/// draining or removed. The write deadline is 30 ms before its end, so that the last attempt
/// reaches the node within the period. After this deadline, no request, neither a read nor a write,
/// may be sent to the node until the node is in service again.
#[test]
fn no_request_is_sent_to_a_draining_node_after_its_write_deadline() {
    let mut harness = Harness::new(&deployment_settings(), &[in_service_record("n", 0)]);
    harness.submit(Operation::Read, Some(0));
    harness.run_turn();
    let node = harness.take_started_attempts()[0].node;
    let drained_at = harness.now;
    harness.update_endpoint(endpoint_record("n", 0, EndpointStatus::Draining));
    assert!(harness.dispatcher.may_write(node, drained_at + 400 * MS));
    // A later entry that shows the node as removed does not extend the drain grace period.
    harness.now = drained_at + 400 * MS;
    harness.update_endpoint(endpoint_record("n", 0, EndpointStatus::Removed));
    assert!(!harness.dispatcher.may_write(node, drained_at + 490 * MS));
    harness.now = drained_at + 500 * MS;
    harness.update_endpoint(EndpointRecord {
        started_at: Some(drained_at),
        ..in_service_record("n", 0)
    });
    assert!(harness.dispatcher.may_write(node, drained_at + 501 * MS));
}
