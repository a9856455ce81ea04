//! Attempts that end without a result.

use super::harness::{in_service, settings_with, Harness, StartedAttempt};
use crate::support::settings::deployment_settings;
use storage_gateway::dispatcher::{AbortCause, Command};
use storage_gateway::storage_request::{Operation, Response};

#[test]
fn an_aborted_write_is_rejected_before_its_first_byte_and_failed_after_it() {
    for (written, expect_rejected) in [(false, true), (true, false)] {
        let settings = settings_with(|settings| settings.permissions.max_attempts = 1);
        let mut harness = Harness::new(&settings, &[in_service("n", 0)]);
        harness.submit(Operation::Write, Some(0));
        harness.run_turn();
        let attempt = harness.take_started_attempts()[0].id;
        if written {
            harness.record_may_have_executed(attempt);
        }
        harness.abort(attempt, AbortCause::ConnectionLost);
        harness.run_turn();
        let responses = harness.take_responses();
        assert_eq!(responses.len(), 1);
        let rejected = matches!(responses[0].response, Response::Rejected { .. });
        assert_eq!(rejected, expect_rejected, "written: {written}");
    }
}

#[test]
fn an_attempt_without_a_result_is_abandoned_at_its_deadline() {
    let mut harness = Harness::new(&deployment_settings(), &[in_service("n", 0)]);
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
    let abandoned =
        |command: &Command| matches!(command, Command::AbandonAttempt(attempt) if *attempt == id);
    assert_eq!(
        harness
            .commands
            .iter()
            .filter(|command| abandoned(command))
            .count(),
        1
    );
}
