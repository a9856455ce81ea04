//! Ordered classes: requests with the same object key are executed one after another.

mod common;

use common::{
    attempt, attempt_completed, default_settings, dispatched_attempts, dispatched_requests,
    rejected_requests, SchedulerHarness, MILLISECOND,
};
use io_scheduler::{Event, ObjectKey, Outcome, Request};

#[test]
fn ordered_requests_wait_for_the_previous_attempt_and_the_quiesce_period() {
    let mut settings = default_settings();
    settings.classes[0].ordered = true;
    settings.quiesce_period = 100 * MILLISECOND;
    let mut harness = SchedulerHarness::new(settings, 1);
    harness.raise_concurrency_limit(0);
    let mut requests: Vec<Request> = (0..3).map(|_| harness.request(Some(0))).collect();
    requests[0].key = Some(ObjectKey(4));
    requests[0].deadline = 300 * MILLISECOND;
    requests[1].key = Some(ObjectKey(4));
    requests[2].key = Some(ObjectKey(5));
    let events: Vec<Event> = requests.into_iter().map(Event::RequestReceived).collect();
    let actions = harness.handle(&events);
    let mut first_dispatched = dispatched_requests(&actions);
    first_dispatched.sort_unstable();
    assert_eq!(
        first_dispatched,
        [0, 2],
        "a request with another key does not wait"
    );
    // The first request is closed at its deadline, but its attempt is still in flight, so the next
    // request with the same key continues to wait.
    let actions = harness.fire_timer_at(300 * MILLISECOND);
    assert_eq!(
        (rejected_requests(&actions), dispatched_attempts(&actions)),
        (vec![0], vec![])
    );
    let timed_out = attempt_completed(0, 0, 0, Outcome::TimedOut, 304 * MILLISECOND);
    assert!(dispatched_attempts(&harness.handle_at(304 * MILLISECOND, &[timed_out])).is_empty());
    // The attempt ended after 304 ms; the quiesce period of 100 ms ends at 404 ms.
    assert!(dispatched_attempts(&harness.fire_timer_at(404 * MILLISECOND - 1)).is_empty());
    assert_eq!(
        dispatched_attempts(&harness.fire_timer_at(404 * MILLISECOND)),
        [attempt(1, 0)]
    );
}
