//! Deadlines of clients: the final response, and what can still finish in time.

mod common;

use common::{
    attempt, attempt_completed, dispatched, failed, rejected, served, settings, volume_plan,
    SchedulerHarness, MILLISECOND, SECOND,
};
use io_scheduler::{Action, Event, ObjectKey, Outcome};

#[test]
fn a_request_gets_one_final_response_at_its_deadline_and_nothing_after_it() {
    let mut harness = SchedulerHarness::new(settings(), 1);
    let request = harness.request(Some(0));
    assert_eq!(dispatched(&harness.receive(request)), [attempt(0, 0)]);
    assert!(rejected(&harness.fire_timer_at(2 * SECOND - 1)).is_empty());
    assert_eq!(rejected(&harness.fire_timer_at(2 * SECOND)), [0]);
    let timed_out = attempt_completed(0, 0, 0, Outcome::TimedOut, 2 * SECOND);
    let actions = harness.handle_at(2 * SECOND + MILLISECOND, &[timed_out]);
    assert!(
        dispatched(&actions).is_empty()
            && rejected(&actions).is_empty()
            && failed(&actions).is_empty()
    );
}

/// The rejected requests, each with whether the client is advised when to retry.
fn rejected_with_advice(actions: &[Action]) -> Vec<(u64, bool)> {
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
fn a_request_that_cannot_finish_before_its_deadline_takes_no_capacity() {
    // The node responds in 100 ms, well within the latency objective of 500 ms.
    let mut settings = settings();
    settings.plans[0] = volume_plan(100.0, 1.0, 0.0);
    let mut harness = SchedulerHarness::new(settings, 1);
    for id in 0..10 {
        let request = harness.request(Some(0));
        assert_eq!(dispatched(&harness.receive(request)), [attempt(id, 0)]);
        harness.handle_at(
            harness.now + 100 * MILLISECOND,
            &[served(id, 100 * MILLISECOND)],
        );
    }
    for (remaining, attempts) in [(60 * MILLISECOND, 0), (400 * MILLISECOND, 1)] {
        let mut request = harness.request(Some(0));
        request.deadline = harness.now + remaining;
        let id = request.id.0;
        assert_eq!(
            dispatched(&harness.receive(request)).len(),
            attempts,
            "{remaining} remaining"
        );
        // A request that was not dispatched in half of its time is rejected then, with advice when
        // to retry: kept until its deadline it would most likely be rejected all the same, after a
        // longer wait.
        let half_time = harness.now + remaining / 2;
        assert_eq!(
            rejected(&harness.fire_timer_at(half_time - MILLISECOND)),
            [] as [u64; 0]
        );
        let actions = harness.fire_timer_at(half_time);
        let expected = if attempts == 0 {
            vec![(id, true)]
        } else {
            vec![]
        };
        assert_eq!(rejected_with_advice(&actions), expected);
    }
}

#[test]
fn a_client_s_retry_keeps_the_latency_objective_of_its_first_attempt() {
    // Treated as new, retries of clients that gave up early took the capacity of requests still in
    // time.
    let mut harness = SchedulerHarness::new(settings(), 1);
    harness.warm_up(0);
    harness.occupy_node(5);
    let request_for_key = |harness: &mut SchedulerHarness, key: u64| {
        let mut request = harness.request_of_volume(0, 0, harness.now + 300 * MILLISECOND);
        request.key = Some(ObjectKey(key));
        Event::RequestReceived(request)
    };
    let first = request_for_key(&mut harness, 1);
    harness.handle(&[first]);
    assert_eq!(rejected(&harness.fire_timer_at(300 * MILLISECOND)), [5]);
    harness.now = 600 * MILLISECOND;
    let retry = request_for_key(&mut harness, 1);
    let new_request = request_for_key(&mut harness, 2);
    harness.handle(&[retry, new_request]);
    let actions = harness.handle_at(601 * MILLISECOND, &[served(0, MILLISECOND)]);
    assert_eq!(dispatched(&actions), [attempt(7, 0)]);
}
