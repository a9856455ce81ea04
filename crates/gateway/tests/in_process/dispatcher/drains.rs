//! The drain grace period: how long the gateway may still send requests to a node that is
//! draining.

use super::harness::{endpoint_record, in_service_record, settings_with, Harness, MS};
use crate::support::settings::deployment_settings;
use io_scheduler::EndpointStatus;
use storage_gateway::endpoint::EndpointRecord;
use storage_gateway::storage_request::Operation;

/// The drain grace period of the settings is 500 ms from the first entry that shows the node as
/// draining or removed. The process may be held up for 150 ms before it handles the entry and for
/// another 150 ms before it writes, so the write deadline is 300 ms before its end. After this
/// deadline, no request, neither a read nor a write, may be sent to the node until the node is in
/// service again.
#[test]
fn no_request_is_sent_to_a_draining_node_after_its_write_deadline() {
    let mut harness = Harness::new(&deployment_settings(), &[in_service_record("n", 0)]);
    harness.submit(Operation::Read, Some(0));
    harness.run_turn();
    let node = harness.take_started_attempts()[0].node;
    let drained_at = harness.now;
    harness.update_endpoint(endpoint_record("n", 0, EndpointStatus::Draining));
    assert!(harness.dispatcher.may_write(node, drained_at + 190 * MS));
    assert!(!harness.dispatcher.may_write(node, drained_at + 200 * MS));
    // A later entry that shows the node as removed does not extend the drain grace period.
    harness.now = drained_at + 190 * MS;
    harness.update_endpoint(endpoint_record("n", 0, EndpointStatus::Removed));
    assert!(!harness.dispatcher.may_write(node, drained_at + 200 * MS));
    assert!(!harness.dispatcher.may_write(node, drained_at + 490 * MS));
    harness.now = drained_at + 500 * MS;
    harness.update_endpoint(EndpointRecord {
        started_at: Some(drained_at),
        ..in_service_record("n", 0)
    });
    assert!(harness.dispatcher.may_write(node, drained_at + 501 * MS));
}

/// With a drain grace period of at most 300 ms, a process that is held up twice could write after
/// its end.
#[test]
fn no_request_is_sent_to_a_draining_node_if_the_drain_grace_may_end_while_the_process_is_held_up() {
    for drain_grace_ms in [0.0, 250.0, 300.0] {
        let settings = settings_with(|settings| settings.rules.drain_grace_ms = drain_grace_ms);
        let mut harness = Harness::new(&settings, &[in_service_record("n", 0)]);
        harness.submit(Operation::Read, Some(0));
        harness.run_turn();
        let node = harness.take_started_attempts()[0].node;
        let drained_at = harness.now;
        harness.update_endpoint(endpoint_record("n", 0, EndpointStatus::Draining));
        assert!(!harness.dispatcher.may_write(node, drained_at));
    }
}
