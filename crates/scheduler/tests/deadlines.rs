//! Deadlines of requests: the final response, and requests that cannot complete in time.

mod common;

use common::{
    attempt, attempt_completed, default_settings, dispatched_attempts, failed_requests,
    rejected_requests, served, volume_plan, SchedulerHarness, MILLISECOND, SECOND,
};
use io_scheduler::{Action, Event, ObjectKey, Outcome};

#[test]
fn request_is_rejected_at_its_deadline_and_not_again() {
    let mut harness = SchedulerHarness::new(default_settings(), 1);
    let request = harness.request(Some(0));
    assert_eq!(
        dispatched_attempts(&harness.receive(request)),
        [attempt(0, 0)]
    );
    assert!(rejected_requests(&harness.fire_timer_at(2 * SECOND - 1)).is_empty());
    assert_eq!(rejected_requests(&harness.fire_timer_at(2 * SECOND)), [0]);
    let timed_out = attempt_completed(0, 0, 0, Outcome::TimedOut, 2 * SECOND);
    let actions = harness.handle_at(2 * SECOND + MILLISECOND, &[timed_out]);
    assert!(
        dispatched_attempts(&actions).is_empty()
            && rejected_requests(&actions).is_empty()
            && failed_requests(&actions).is_empty()
    );
}

/// Returns the ids of the rejected requests, each with whether the rejection has a Retry-After
/// value.
fn rejections_with_retry_after(actions: &[Action]) -> Vec<(u64, bool)> {
    let mut requests = Vec::new();
    for action in actions {
        if let Action::Reject {
            request,
            retry_after,
        } = action
        {
            requests.push((request.0, *retry_after > 0));
        }
    }
    requests
}

#[test]
fn request_that_cannot_complete_before_its_deadline_is_not_dispatched() {
    // The node responds in 100 ms, well within the latency objective of 500 ms.
    let mut settings = default_settings();
    settings.plans[0] = volume_plan(100.0, 1.0, 0.0);
    let mut harness = SchedulerHarness::new(settings, 1);
    for id in 0..10 {
        let request = harness.request(Some(0));
        assert_eq!(
            dispatched_attempts(&harness.receive(request)),
            [attempt(id, 0)]
        );
        harness.handle_at(
            harness.now + 100 * MILLISECOND,
            &[served(id, 100 * MILLISECOND)],
        );
    }
    for (remaining, expected_attempts) in [(60 * MILLISECOND, 0), (400 * MILLISECOND, 1)] {
        let mut request = harness.request(Some(0));
        request.deadline = harness.now + remaining;
        let id = request.id.0;
        assert_eq!(
            dispatched_attempts(&harness.receive(request)).len(),
            expected_attempts,
            "{remaining} us to the deadline"
        );
        // A request that was not dispatched in the first half of the time to its deadline is
        // rejected with a Retry-After value. If it were kept until its deadline, it would most
        // likely be rejected all the same, after a longer wait.
        let half_time = harness.now + remaining / 2;
        assert_eq!(
            rejected_requests(&harness.fire_timer_at(half_time - MILLISECOND)),
            [] as [u64; 0]
        );
        let actions = harness.fire_timer_at(half_time);
        let expected = if expected_attempts == 0 {
            vec![(id, true)]
        } else {
            vec![]
        };
        assert_eq!(rejections_with_retry_after(&actions), expected);
    }
}

#[test]
fn client_retry_keeps_the_latency_objective_of_the_first_request() {
    // Guards against clients that give up early and retry: if their retries were treated as new
    // requests, they would take the capacity of requests that can still meet their objective.
    let mut harness = SchedulerHarness::new(default_settings(), 1);
    harness.raise_concurrency_limit(0);
    harness.occupy_node_0(5);
    let request_for_key = |harness: &mut SchedulerHarness, key: u64| {
        let mut request = harness.request_of_volume(0, 0, harness.now + 300 * MILLISECOND);
        request.key = Some(ObjectKey(key));
        Event::RequestReceived(request)
    };
    let first = request_for_key(&mut harness, 1);
    harness.handle(&[first]);
    assert_eq!(
        rejected_requests(&harness.fire_timer_at(300 * MILLISECOND)),
        [5]
    );
    harness.now = 600 * MILLISECOND;
    let retry = request_for_key(&mut harness, 1);
    let new_request = request_for_key(&mut harness, 2);
    harness.handle(&[retry, new_request]);
    let actions = harness.handle_at(601 * MILLISECOND, &[served(0, MILLISECOND)]);
    assert_eq!(dispatched_attempts(&actions), [attempt(7, 0)]);
}
