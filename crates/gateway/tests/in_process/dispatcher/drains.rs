//! Nodes that drain.

use super::harness::{endpoint, in_service, Harness, MS};
use crate::support::settings::deployment_settings;
use io_scheduler::EndpointStatus;
use storage_gateway::endpoint::EndpointRecord;
use storage_gateway::storage_request::Operation;

#[test]
fn nothing_is_written_to_a_draining_node_after_the_drain_grace() {
    let mut harness = Harness::new(&deployment_settings(), &[in_service("n", 0)]);
    harness.submit(Operation::Read, Some(0));
    harness.run_turn();
    let node = harness.take_started_attempts()[0].node;
    let drained_at = harness.now;
    harness.update_endpoint(endpoint("n", 0, EndpointStatus::Draining));
    assert!(harness.dispatcher.may_write(node, drained_at + 400 * MS));
    // A later entry for the same drain does not extend the grace.
    harness.now = drained_at + 400 * MS;
    harness.update_endpoint(endpoint("n", 0, EndpointStatus::Removed));
    assert!(!harness.dispatcher.may_write(node, drained_at + 490 * MS));
    harness.now = drained_at + 500 * MS;
    harness.update_endpoint(EndpointRecord {
        started_at: Some(drained_at),
        ..in_service("n", 0)
    });
    assert!(harness.dispatcher.may_write(node, drained_at + 501 * MS));
}
