//! Attempts that end without a result from the node.

use super::harness::{in_service_record, settings_with, Harness, StartedAttempt};
use crate::support::settings::deployment_settings;
use storage_gateway::dispatcher::{AbortCause, Command};
use storage_gateway::storage_request::{Operation, Response};

/// If the connection of a write is lost, the client may safely retry the write only if the node
/// cannot have executed it. The response must therefore be a rejection before the node may have
/// executed the write, and a failure afterwards.
#[test]
fn write_whose_connection_is_lost_is_rejected_unless_the_node_may_have_executed_it() {
    for (may_have_executed, expect_rejected) in [(false, true), (true, false)] {
        let settings = settings_with(|settings| settings.features_and_limits.max_attempts = 1);
        let mut harness = Harness::new(&settings, &[in_service_record("n", 0)]);
        harness.submit(Operation::Write, Some(0));
        harness.run_turn();
        let attempt = harness.take_started_attempts()[0].id;
        if may_have_executed {
            harness.record_may_have_executed(attempt);
        }
        harness.abort(attempt, AbortCause::ConnectionLost);
        harness.run_turn();
        let responses = harness.take_responses();
        assert_eq!(responses.len(), 1);
        let rejected = matches!(responses[0].response, Response::Rejected { .. });
        assert_eq!(
            rejected, expect_rejected,
            "may have executed: {may_have_executed}"
        );
    }
}

/// The dispatcher must await the result until the attempt times out, and then issue a single
/// [`Command::AbandonAttempt`].
#[test]
fn attempt_without_a_result_is_abandoned_when_it_times_out() {
    let mut harness = Harness::new(&deployment_settings(), &[in_service_record("n", 0)]);
    harness.submit(Operation::Read, Some(0));
    harness.run_turn();
    let started = harness.take_started_attempts();
    let StartedAttempt {
        id, times_out_at, ..
    } = started[0];
    harness.record_may_have_executed(id);
    harness.advance(times_out_at - 1 - harness.now);
    assert!(harness.dispatcher.awaits_result_of(id));
    harness.advance(1);
    assert!(!harness.dispatcher.awaits_result_of(id));
    let abandons_attempt =
        |command: &Command| matches!(command, Command::AbandonAttempt(attempt) if *attempt == id);
    assert_eq!(
        harness
            .commands
            .iter()
            .filter(|command| abandons_attempt(command))
            .count(),
        1
    );
}

/// More failed connects than eject a node that is at fault. A shortage in the gateway tells nothing
/// of the node: each request is rejected at once, and the next one is dispatched without a wait.
#[test]
fn shortage_of_the_gateway_does_not_eject_a_node() {
    let records = [
        in_service_record("a", 0),
        in_service_record("b", 1),
        in_service_record("c", 2),
    ];
    let mut harness = Harness::new(&deployment_settings(), &records);
    for _ in 0..5 {
        harness.submit(Operation::Read, Some(0));
        harness.run_turn();
        let started = harness.take_started_attempts();
        assert_eq!(started.len(), 1, "the request must be dispatched at once");
        harness.abort(started[0].id, AbortCause::LocalShortage);
        harness.run_turn();
        let responses = harness.take_responses();
        assert_eq!(responses.len(), 1);
        assert!(matches!(responses[0].response, Response::Rejected { .. }));
    }
}
