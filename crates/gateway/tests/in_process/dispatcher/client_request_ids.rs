//! Client request ids, which must be unique among the requests without a response.

use super::harness::{in_service_record, Harness, SubmittedRequest, MEMORY_MB, MS};
use crate::support::settings::deployment_settings;
use io_scheduler::Outcome;
use storage_gateway::memory_budget::MemoryBudget;
use storage_gateway::storage_request::{InvalidRequest, Operation, Response, StorageRequest};

/// A request with the client request id of a request without a response is invalid. The first
/// request must not be affected, and the id can be used again after its response.
#[test]
fn duplicate_client_request_id_is_invalid_until_the_first_request_has_a_response() {
    let mut harness = Harness::new(&deployment_settings(), &[in_service_record("n", 0)]);
    let request = harness.new_request(Operation::Read, Some(0));
    let first = harness.submit_request(request.clone());
    let duplicate = harness.submit_request(request.clone());
    harness.run_turn();
    let responses = harness.take_responses();
    assert_eq!(responses.len(), 1);
    assert_eq!(responses[0].slot, duplicate.slot);
    assert_eq!(
        responses[0].response,
        Response::Invalid(InvalidRequest::DuplicateClientRequestId)
    );
    let attempt = harness.take_started_attempts()[0].id;
    harness.complete(attempt, Outcome::Served);
    harness.run_turn();
    let responses = harness.take_responses();
    assert_eq!(responses.len(), 1);
    assert_eq!(responses[0].slot, first.slot);
    assert!(matches!(responses[0].response, Response::Served(_)));
    harness.submit_request(request);
    harness.run_turn();
    assert_eq!(
        harness.take_started_attempts().len(),
        1,
        "the id should be usable again after the response"
    );
}

/// The texts are sent to clients, so they must not change.
#[test]
fn error_texts_for_client_request_ids_are_unchanged() {
    let text = InvalidRequest::DuplicateClientRequestId.to_string();
    assert_eq!(text, "the id is that of an open request");
    let text = InvalidRequest::RepeatedClientRequestId.to_string();
    assert_eq!(text, "the id is that of a request that may have run");
}

/// A request that waits for a node is dropped when its client disconnects. Another request with its
/// client request id must then be accepted.
#[test]
fn client_request_id_can_be_used_again_after_its_client_has_disconnected() {
    const UNKNOWN_SHARD: u64 = 7;
    let mut harness = Harness::new(&deployment_settings(), &[in_service_record("n", 0)]);
    let request = harness.new_request(Operation::Read, Some(UNKNOWN_SHARD));
    let first = harness.submit_request(request.clone());
    harness.run_turn();
    assert_eq!(harness.dispatcher.open_requests(), 1);
    harness
        .dispatcher
        .record_response_not_needed(first.id, harness.now, &mut harness.timers);
    harness.run_turn();
    assert_eq!(harness.dispatcher.open_requests(), 0);
    harness.submit_request(request);
    harness.run_turn();
    assert!(
        harness.take_responses().is_empty(),
        "the second request should wait for a response, not be invalid"
    );
    assert_eq!(harness.dispatcher.open_requests(), 1);
}

/// Submits a write with the client request id `id`.
fn submit_write(harness: &mut Harness, id: &str) -> SubmittedRequest {
    let request = harness.new_request(Operation::Write, Some(0));
    harness.submit_request(StorageRequest {
        client_request_id: id.into(),
        ..request
    })
}

/// Submits a write that a node may have executed when its client disconnects.
fn submit_write_and_disconnect(harness: &mut Harness, id: &str) {
    let request = submit_write(harness, id);
    harness.run_turn();
    let attempt = harness.take_started_attempts()[0].id;
    harness.record_may_have_executed(attempt);
    harness
        .dispatcher
        .record_response_not_needed(request.id, harness.now, &mut harness.timers);
    harness.run_turn();
}

/// Submits a write and returns whether it is invalid because a request with its id may have run.
fn is_invalid(harness: &mut Harness, id: &str) -> bool {
    submit_write(harness, id);
    harness.run_turn();
    let responses = harness.take_responses();
    let repeated = Response::Invalid(InvalidRequest::RepeatedClientRequestId);
    responses
        .iter()
        .any(|response| response.response == repeated)
}

/// Guards against a second execution of a request that is not idempotent: its id comes again after
/// its client has disconnected. The id is forgotten after a minute.
#[test]
fn write_that_may_have_run_is_invalid_until_its_id_is_removed() {
    let mut harness = Harness::new(&deployment_settings(), &[in_service_record("n", 0)]);
    submit_write_and_disconnect(&mut harness, "w1");
    assert!(is_invalid(&mut harness, "w1"));
    harness.advance(59_000 * MS);
    assert!(is_invalid(&mut harness, "w1"));
    harness.advance(2_000 * MS);
    assert!(!is_invalid(&mut harness, "w1"));
}

/// A write that its node has rejected was never executed.
#[test]
fn write_that_was_never_run_is_accepted_again() {
    let mut harness = Harness::new(&deployment_settings(), &[in_service_record("n", 0)]);
    let request = submit_write(&mut harness, "w1");
    harness.run_turn();
    let attempt = harness.take_started_attempts()[0].id;
    harness.record_may_have_executed(attempt);
    harness.complete(attempt, Outcome::Overloaded);
    harness
        .dispatcher
        .record_response_not_needed(request.id, harness.now, &mut harness.timers);
    harness.run_turn();
    assert!(!is_invalid(&mut harness, "w1"));
}

/// Clients choose the ids, so the table of remembered ones must stay bounded; the first one is
/// forgotten.
#[test]
fn number_of_remembered_ids_is_bounded() {
    let mut harness = Harness::new(&deployment_settings(), &[in_service_record("n", 0)]);
    let limit = MemoryBudget::from_memory_mb(MEMORY_MB).max_executed_requests;
    for number in 0..=limit {
        submit_write(&mut harness, &format!("w{number}"));
        harness.run_turn();
        for attempt in harness.take_started_attempts() {
            harness.complete(attempt.id, Outcome::Served);
        }
        harness.run_turn();
        let _ = harness.take_responses();
    }
    assert!(is_invalid(&mut harness, &format!("w{limit}")));
    assert!(is_invalid(&mut harness, "w1"));
    assert!(!is_invalid(&mut harness, "w0"));
}
