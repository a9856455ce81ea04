//! State that must not accumulate, and requests that would exceed the memory.

use super::harness::{in_service, Harness, Responded, DEFAULT_VOLUME, MEMORY_MB, MS};
use crate::support::settings::deployment_settings;
use io_scheduler::{EndpointListEvent, EndpointStatus, Outcome, VolumeId};
use storage_gateway::endpoint::EndpointRecord;
use storage_gateway::memory_budget::MemoryBudget;
use storage_gateway::storage_request::{Operation, Response, StorageRequest};

/// The record of a node that is replaced by the one with the next number.
fn numbered_node(number: u64) -> EndpointRecord {
    in_service(&format!("n{number}"), 0)
}

/// Replaces a node by the one with the next number: by a snapshot or by a delta, in turn.
fn replace_node(harness: &mut Harness, number: u64) {
    let now = harness.now;
    let dispatcher = &mut harness.dispatcher;
    let new = numbered_node(number);
    if number.is_multiple_of(2) {
        dispatcher.update_endpoints(EndpointListEvent::Snapshot, &[new], now);
        return;
    }
    let removed = EndpointRecord {
        status: EndpointStatus::Removed,
        ..numbered_node(number - 1)
    };
    dispatcher.update_endpoints(EndpointListEvent::Delta, &[removed, new], now);
}

/// Submits requests of a volume that is never used again, for shards that no node stores.
fn submit_for_unknown_shards(harness: &mut Harness, volume: VolumeId) {
    for _ in 0..3 {
        let unknown_shard = Some(1_000_000 + harness.submitted);
        let request = harness.new_request(Operation::Read, unknown_shard);
        harness.submit_request(StorageRequest { volume, ..request });
    }
}

/// Nodes are replaced all day by new ones with new names, and clients name volumes that are never
/// used again on shards that no node stores: none of it may accumulate.
#[test]
fn removed_nodes_and_unused_volumes_are_forgotten() {
    let mut harness = Harness::new(&deployment_settings(), &[numbered_node(0)]);
    for number in 1..500 {
        harness.submit(Operation::Read, Some(0));
        harness.run_turn();
        let attempt = harness.take_started_attempts()[0].id;
        replace_node(&mut harness, number);
        assert!(
            harness.dispatcher.nodes().count() <= 2,
            "the removed node has an attempt in flight"
        );
        harness.record_may_have_executed(attempt);
        harness.complete(attempt, Outcome::Served);
        harness.run_turn();
        let responses = harness.take_responses();
        let served = responses
            .iter()
            .filter(|responded| matches!(responded.response, Response::Served(_)));
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

#[test]
fn requests_beyond_the_memory_budget_are_rejected() {
    let mut harness = Harness::new(&deployment_settings(), &[in_service("n", 0)]);
    let capacity = MemoryBudget::from_memory_mb(MEMORY_MB).max_requests;
    for _ in 0..capacity + 5 {
        harness.submit(Operation::Read, Some(0));
    }
    harness.run_turn();
    let responses = harness.take_responses();
    assert_eq!(responses.len(), 5);
    for Responded { slot, response } in responses {
        assert!(
            slot > capacity as u64,
            "request {slot} is within the budget"
        );
        assert!(matches!(response, Response::Rejected { retry_after } if retry_after > 0));
    }
}

#[test]
fn the_counters_of_the_volumes_with_the_fewest_requests_are_evicted() {
    let mut harness = Harness::new(&deployment_settings(), &[in_service("n", 0)]);
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
        "the volume with the most requests keeps its counters"
    );
}
