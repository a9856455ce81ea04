//! Bounds of the dispatcher's memory: state of nodes and volumes, counters and requests.

use super::harness::{in_service_record, FinalResponse, Harness, DEFAULT_VOLUME, MEMORY_MB, MS};
use crate::support::settings::deployment_settings;
use io_scheduler::{EndpointListEvent, EndpointStatus, Outcome, VolumeId};
use storage_gateway::endpoint::EndpointRecord;
use storage_gateway::memory_budget::MemoryBudget;
use storage_gateway::storage_request::{Operation, Response, StorageRequest};

/// Returns the record of the node `n{number}`, which is in service.
fn numbered_node_record(number: u64) -> EndpointRecord {
    in_service_record(&format!("n{number}"), 0)
}

/// Replaces the previous node by the node `n{number}`: with a snapshot if the number is even,
/// otherwise with a delta.
fn replace_node(harness: &mut Harness, number: u64) {
    let now = harness.now;
    let dispatcher = &mut harness.dispatcher;
    let added = numbered_node_record(number);
    if number.is_multiple_of(2) {
        dispatcher.update_endpoints(EndpointListEvent::Snapshot, &[added], now);
        return;
    }
    let removed = EndpointRecord {
        status: EndpointStatus::Removed,
        ..numbered_node_record(number - 1)
    };
    dispatcher.update_endpoints(EndpointListEvent::Delta, &[removed, added], now);
}

/// Submits three requests of `volume`, each for a different shard that no node stores.
fn submit_for_unknown_shards(harness: &mut Harness, volume: VolumeId) {
    for _ in 0..3 {
        let unknown_shard = Some(1_000_000 + harness.submitted_count);
        let request = harness.new_request(Operation::Read, unknown_shard);
        harness.submit_request(StorageRequest { volume, ..request });
    }
}

/// While a gateway runs, nodes are replaced by new ones with other names, and clients may name
/// volumes that are never used again and shards that no node stores. State of such nodes, volumes
/// and shards must be evicted; otherwise it would accumulate without bound.
#[test]
fn state_of_removed_nodes_and_unused_volumes_is_evicted() {
    let mut harness = Harness::new(&deployment_settings(), &[numbered_node_record(0)]);
    for number in 1..500 {
        harness.submit(Operation::Read, Some(0));
        harness.run_turn();
        let attempt = harness.take_started_attempts()[0].id;
        replace_node(&mut harness, number);
        assert!(
            harness.dispatcher.nodes().count() <= 2,
            "only the new node, and the removed one until its attempt ends, should have a state"
        );
        harness.record_may_have_executed(attempt);
        harness.complete(attempt, Outcome::Served);
        harness.run_turn();
        let responses = harness.take_responses();
        let served = responses
            .iter()
            .filter(|final_response| matches!(final_response.response, Response::Served(_)));
        assert_eq!(served.count(), 1);
        submit_for_unknown_shards(&mut harness, VolumeId(1_000_000 + number));
        harness.advance(2_000 * MS);
        let _ = harness.take_started_attempts();
    }
    harness.advance(100_000 * MS);
    harness
        .dispatcher
        .update_endpoints(EndpointListEvent::Delta, &[], harness.now);
    harness.advance(MS);
    let sizes = harness.dispatcher.state_sizes();
    assert!(
        sizes.nodes <= 1 && sizes.shards <= 1 && sizes.volumes <= 1,
        "{sizes:?}"
    );
    assert!(harness.dispatcher.volume_counters().len() <= 2_000);
}

/// Only the requests that exceed the memory budget must be rejected, with a Retry-After.
#[test]
fn requests_in_excess_of_the_memory_budget_are_rejected() {
    let mut harness = Harness::new(&deployment_settings(), &[in_service_record("n", 0)]);
    let capacity = MemoryBudget::from_memory_mb(MEMORY_MB).max_requests;
    for _ in 0..capacity + 5 {
        harness.submit(Operation::Read, Some(0));
    }
    harness.run_turn();
    let responses = harness.take_responses();
    assert_eq!(responses.len(), 5);
    for FinalResponse { slot, response } in responses {
        assert!(
            slot > capacity as u64,
            "request {slot} is within the budget but was rejected"
        );
        assert!(matches!(response, Response::Rejected { retry_after } if retry_after > 0));
    }
}

/// Clients may name any number of volumes, so the table of counters must stay bounded.
#[test]
fn counters_of_the_volumes_with_the_fewest_requests_are_evicted() {
    let mut harness = Harness::new(&deployment_settings(), &[in_service_record("n", 0)]);
    for _ in 0..2 {
        harness.submit(Operation::Read, Some(0));
    }
    for volume in 0..2_500 {
        let request = harness.new_request(Operation::Read, Some(0));
        harness.submit_request(StorageRequest {
            volume: VolumeId(1_000_000 + volume),
            ..request
        });
    }
    let counters = harness.dispatcher.volume_counters();
    assert!(counters.len() <= 2_000);
    assert_eq!(
        counters[&DEFAULT_VOLUME].received, 2,
        "the volume with the most requests should keep its counters"
    );
}
