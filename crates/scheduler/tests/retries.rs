//! Retries: which requests are retried after a failed attempt, and how often.

mod common;

use common::{
    attempt, attempt_completed, default_settings, dispatched_attempts, failed_requests,
    rejected_requests, SchedulerHarness, MILLISECOND, SECOND,
};
use io_scheduler::{Action, DeduplicationScope, Event, Idempotency, Micros, Outcome, RetryBudget};

#[test]
fn non_idempotent_request_is_retried_unless_it_may_have_been_executed() {
    let mut settings = default_settings();
    settings.classes[0].idempotency = Idempotency::NonIdempotent;
    for (outcome, expects_retry) in [
        (Outcome::Overloaded, true),
        (Outcome::ConnectFailed, true),
        (Outcome::Error, false),
    ] {
        let mut harness = SchedulerHarness::new(settings.clone(), 1);
        let request = harness.request(Some(0));
        harness.receive(request);
        let completion = attempt_completed(0, 0, 0, outcome, MILLISECOND);
        let mut actions = harness.handle_at(5 * MILLISECOND, &[completion]);
        actions.extend(harness.fire_timer_at(100 * MILLISECOND));
        assert_eq!(
            !dispatched_attempts(&actions).is_empty(),
            expects_retry,
            "{outcome:?}"
        );
        assert_eq!(
            failed_requests(&actions),
            if expects_retry { vec![] } else { vec![0] },
            "{outcome:?}"
        );
        assert!(rejected_requests(&actions).is_empty(), "{outcome:?}");
    }
}

/// A retry may wait for its connection. Guards against writing it when nodes no longer recognize
/// it.
#[test]
fn retry_with_an_idempotency_key_has_to_be_written_within_its_deduplication_window() {
    let window = 100 * MILLISECOND;
    let scope = DeduplicationScope::All;
    for (idempotency, expected) in [
        (Idempotency::WithKey { scope, window }, Some(window)),
        (Idempotency::Idempotent, None),
    ] {
        let mut settings = default_settings();
        settings.classes[0].idempotency = idempotency;
        let mut harness = SchedulerHarness::new(settings, 1);
        harness.raise_concurrency_limit(0);
        let request = harness.request(Some(0));
        let sent_at = harness.now;
        let first = harness.receive(request);
        assert_eq!(write_limits(&first), [None]);
        let completion = attempt_completed(0, 0, 0, Outcome::Error, MILLISECOND);
        let retry = harness.handle_at(MILLISECOND, &[completion]);
        assert_eq!(
            write_limits(&retry),
            [expected.map(|window| sent_at + window)]
        );
    }
}

/// Returns the times before which the dispatched attempts have to be written.
fn write_limits(actions: &[Action]) -> Vec<Option<Micros>> {
    let mut limits = Vec::new();
    for action in actions {
        if let Action::Dispatch { write_before, .. } = action {
            limits.push(*write_before);
        }
    }
    limits
}

#[test]
fn request_with_an_idempotency_key_is_retried_only_within_its_deduplication_window() {
    let window = 100 * MILLISECOND;
    for (scope, elapsed, expects_retry) in [
        (DeduplicationScope::Shard, 99 * MILLISECOND, true),
        (DeduplicationScope::Shard, 100 * MILLISECOND, false),
        (DeduplicationScope::Zone, 99 * MILLISECOND, true),
        (DeduplicationScope::All, 100 * MILLISECOND, false),
    ] {
        let mut settings = default_settings();
        settings.classes[0].idempotency = Idempotency::WithKey { scope, window };
        let mut harness = SchedulerHarness::new(settings, 1);
        harness.raise_concurrency_limit(0);
        let request = harness.request(Some(0));
        harness.receive(request);
        let completion = attempt_completed(0, 0, 0, Outcome::Error, elapsed);
        let actions = harness.handle_at(elapsed, &[completion]);
        assert_eq!(
            dispatched_attempts(&actions).len(),
            usize::from(expects_retry),
            "{scope:?} {elapsed}"
        );
        // With the scope `All`, the client may safely retry, so the request is rejected. With the
        // others, it fails.
        let client_may_retry = scope == DeduplicationScope::All;
        let expected_failed = usize::from(!expects_retry && !client_may_retry);
        assert_eq!(
            failed_requests(&actions).len(),
            expected_failed,
            "{scope:?} {elapsed}"
        );
        let expected_rejected = usize::from(!expects_retry && client_may_retry);
        assert_eq!(
            rejected_requests(&actions).len(),
            expected_rejected,
            "{scope:?} {elapsed}"
        );
    }
}

#[test]
fn request_is_rejected_after_the_maximum_number_of_attempts() {
    let mut harness = SchedulerHarness::new(default_settings(), 1);
    harness.raise_concurrency_limit(0);
    let request = harness.request(Some(0));
    harness.receive(request);
    for number in [0, 1] {
        let completion = attempt_completed(0, number, 0, Outcome::Error, MILLISECOND);
        let actions = harness.handle_at(Micros::from(number + 1) * MILLISECOND, &[completion]);
        assert_eq!(dispatched_attempts(&actions), [attempt(0, 0)]);
    }
    let completion = attempt_completed(0, 2, 0, Outcome::Error, MILLISECOND);
    let actions = harness.handle_at(3 * MILLISECOND, &[completion]);
    assert!(dispatched_attempts(&actions).is_empty());
    assert_eq!(rejected_requests(&actions), [0]);
}

#[test]
fn retry_budget_limits_retries_within_each_window() {
    let mut settings = default_settings();
    settings.retry_budget = Some(RetryBudget {
        window: SECOND,
        allowance: 1.0,
        ratio: 0.5,
    });
    let mut harness = SchedulerHarness::new(settings, 1);
    harness.raise_concurrency_limit(0);
    harness.now = 5 * SECOND;
    let (first, second) = (harness.request(Some(0)), harness.request(Some(0)));
    harness.handle(&[
        Event::RequestReceived(first),
        Event::RequestReceived(second),
    ]);
    // Two requests were received, so two retries are allowed: one by the allowance, and one by the
    // ratio of 0.5.
    let completions = vec![
        attempt_completed(0, 0, 0, Outcome::Error, MILLISECOND),
        attempt_completed(1, 0, 0, Outcome::Error, MILLISECOND),
    ];
    assert_eq!(
        dispatched_attempts(&harness.handle_at(5 * SECOND + MILLISECOND, &completions)).len(),
        2
    );
    let completions = vec![
        attempt_completed(0, 1, 0, Outcome::Overloaded, MILLISECOND),
        attempt_completed(1, 1, 0, Outcome::Served, MILLISECOND),
    ];
    assert!(
        dispatched_attempts(&harness.handle_at(5 * SECOND + 2 * MILLISECOND, &completions))
            .is_empty()
    );
    assert!(dispatched_attempts(&harness.fire_timer_at(6 * SECOND - MILLISECOND)).is_empty());
    // Both retries and both requests have left the window, so one retry is allowed by the
    // allowance.
    assert_eq!(
        dispatched_attempts(&harness.fire_timer_at(6 * SECOND + 2 * MILLISECOND)),
        [attempt(0, 0)]
    );
}

#[test]
fn request_has_at_most_one_attempt_in_flight() {
    let mut harness = SchedulerHarness::new(default_settings(), 1);
    let request = harness.request(Some(0));
    let mut attempts = dispatched_attempts(&harness.receive(request)).len();
    for elapsed_ms in 1..1_999 {
        attempts += dispatched_attempts(&harness.fire_timer_at(elapsed_ms * MILLISECOND)).len();
    }
    assert_eq!(attempts, 1);
}
