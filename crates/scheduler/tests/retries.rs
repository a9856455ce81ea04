//! Which attempts are retried, and how many.

mod common;

use common::{
    attempt, attempt_completed, dispatched, failed, rejected, settings, SchedulerHarness,
    MILLISECOND, SECOND,
};
use io_scheduler::{DeduplicationScope, Event, Idempotency, Micros, Outcome, RetryBudget};

#[test]
fn a_non_idempotent_request_is_retried_only_if_it_never_ran() {
    let mut settings = settings();
    settings.classes[0].idempotency = Idempotency::NonIdempotent;
    for (outcome, retried) in [
        (Outcome::Overloaded, true),
        (Outcome::ConnectFailed, true),
        (Outcome::Error, false),
    ] {
        let mut harness = SchedulerHarness::new(settings.clone(), 1);
        let request = harness.request(Some(0));
        harness.receive(request);
        let end = attempt_completed(0, 0, 0, outcome, MILLISECOND);
        let mut actions = harness.handle_at(5 * MILLISECOND, &[end]);
        actions.extend(harness.fire_timer_at(100 * MILLISECOND));
        assert_eq!(!dispatched(&actions).is_empty(), retried, "{outcome:?}");
        assert_eq!(
            failed(&actions),
            if retried { vec![] } else { vec![0] },
            "{outcome:?}"
        );
        assert!(rejected(&actions).is_empty(), "{outcome:?}");
    }
}

#[test]
fn a_request_with_an_idempotency_key_is_retried_only_within_its_deduplication_window() {
    let window = 100 * MILLISECOND;
    for (scope, elapsed, retried) in [
        (DeduplicationScope::Shard, 99 * MILLISECOND, true),
        (DeduplicationScope::Shard, 100 * MILLISECOND, false),
        (DeduplicationScope::Zone, 99 * MILLISECOND, true),
        (DeduplicationScope::All, 100 * MILLISECOND, false),
    ] {
        let mut settings = settings();
        settings.classes[0].idempotency = Idempotency::WithKey { scope, window };
        let mut harness = SchedulerHarness::new(settings, 1);
        harness.warm_up(0);
        let request = harness.request(Some(0));
        harness.receive(request);
        let end = attempt_completed(0, 0, 0, Outcome::Error, elapsed);
        let actions = harness.handle_at(elapsed, &[end]);
        assert_eq!(
            dispatched(&actions).len(),
            usize::from(retried),
            "{scope:?} {elapsed}"
        );
        let may_be_rejected = scope == DeduplicationScope::All;
        let expected_failed = usize::from(!retried && !may_be_rejected);
        assert_eq!(
            failed(&actions).len(),
            expected_failed,
            "{scope:?} {elapsed}"
        );
        let expected_rejected = usize::from(!retried && may_be_rejected);
        assert_eq!(
            rejected(&actions).len(),
            expected_rejected,
            "{scope:?} {elapsed}"
        );
    }
}

#[test]
fn retries_stop_at_the_maximum_number_of_attempts() {
    let mut harness = SchedulerHarness::new(settings(), 1);
    harness.warm_up(0);
    let request = harness.request(Some(0));
    harness.receive(request);
    for number in [0, 1] {
        let end = attempt_completed(0, number, 0, Outcome::Error, MILLISECOND);
        let actions = harness.handle_at(Micros::from(number + 1) * MILLISECOND, &[end]);
        assert_eq!(dispatched(&actions), [attempt(0, 0)]);
    }
    let end = attempt_completed(0, 2, 0, Outcome::Error, MILLISECOND);
    let actions = harness.handle_at(3 * MILLISECOND, &[end]);
    assert!(dispatched(&actions).is_empty());
    assert_eq!(rejected(&actions), [0]);
}

#[test]
fn the_retry_budget_holds_in_every_window() {
    let mut settings = settings();
    settings.retry_budget = Some(RetryBudget {
        window: SECOND,
        allowance: 1.0,
        ratio: 0.5,
    });
    let mut harness = SchedulerHarness::new(settings, 1);
    harness.warm_up(0);
    harness.now = 5 * SECOND;
    let (first, second) = (harness.request(Some(0)), harness.request(Some(0)));
    harness.handle(&[
        Event::RequestReceived(first),
        Event::RequestReceived(second),
    ]);
    // Two requests received: the allowance of one retry and one more for the two.
    let ends = vec![
        attempt_completed(0, 0, 0, Outcome::Error, MILLISECOND),
        attempt_completed(1, 0, 0, Outcome::Error, MILLISECOND),
    ];
    assert_eq!(
        dispatched(&harness.handle_at(5 * SECOND + MILLISECOND, &ends)).len(),
        2
    );
    let ends = vec![
        attempt_completed(0, 1, 0, Outcome::Overloaded, MILLISECOND),
        attempt_completed(1, 1, 0, Outcome::Served, MILLISECOND),
    ];
    assert!(dispatched(&harness.handle_at(5 * SECOND + 2 * MILLISECOND, &ends)).is_empty());
    assert!(dispatched(&harness.fire_timer_at(6 * SECOND - MILLISECOND)).is_empty());
    // Both retries have left the window, and so have both requests: the allowance is left.
    assert_eq!(
        dispatched(&harness.fire_timer_at(6 * SECOND + 2 * MILLISECOND)),
        [attempt(0, 0)]
    );
}

#[test]
fn two_attempts_of_a_request_are_never_in_flight_at_once() {
    let mut harness = SchedulerHarness::new(settings(), 1);
    let request = harness.request(Some(0));
    let mut attempts = dispatched(&harness.receive(request)).len();
    for elapsed_ms in 1..1_999 {
        attempts += dispatched(&harness.fire_timer_at(elapsed_ms * MILLISECOND)).len();
    }
    assert_eq!(attempts, 1);
}
