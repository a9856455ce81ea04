//! Client request ids, which must be unique among the requests without a response.

use super::harness::{in_service_record, Harness};
use crate::support::settings::deployment_settings;
use io_scheduler::Outcome;
use storage_gateway::storage_request::{InvalidRequest, Operation, Response};

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

/// The text is sent to clients, so it must not change.
#[test]
fn error_text_for_a_duplicate_client_request_id_is_unchanged() {
    let text = InvalidRequest::DuplicateClientRequestId.to_string();
    assert_eq!(text, "the id is that of an open request");
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
