//! Ordered classes: requests for one object key run one after another.

mod common;

use common::{
    attempt, attempt_completed, dispatched, dispatched_requests, rejected, settings,
    SchedulerHarness, MILLISECOND,
};
use io_scheduler::{Event, ObjectKey, Outcome, Request};

#[test]
fn requests_of_a_key_run_in_order_and_pause_after_an_uncertain_outcome() {
    let mut settings = settings();
    settings.classes[0].ordered = true;
    settings.quiesce_period = 100 * MILLISECOND;
    let mut harness = SchedulerHarness::new(settings, 1);
    harness.warm_up(0);
    let mut requests: Vec<Request> = (0..3).map(|_| harness.request(Some(0))).collect();
    requests[0].key = Some(ObjectKey(4));
    requests[0].deadline = 300 * MILLISECOND;
    requests[1].key = Some(ObjectKey(4));
    requests[2].key = Some(ObjectKey(5));
    let events: Vec<Event> = requests.into_iter().map(Event::RequestReceived).collect();
    let actions = harness.handle(&events);
    let mut first_dispatched = dispatched_requests(&actions);
    first_dispatched.sort_unstable();
    assert_eq!(first_dispatched, [0, 2], "another key does not wait");
    // The first request is closed at its deadline, but its attempt has no outcome: the key still
    // waits.
    let actions = harness.fire_timer_at(300 * MILLISECOND);
    assert_eq!(
        (rejected(&actions), dispatched(&actions)),
        (vec![0], vec![])
    );
    let timed_out = attempt_completed(0, 0, 0, Outcome::TimedOut, 304 * MILLISECOND);
    assert!(dispatched(&harness.handle_at(304 * MILLISECOND, &[timed_out])).is_empty());
    assert!(dispatched(&harness.fire_timer_at(404 * MILLISECOND - 1)).is_empty());
    assert_eq!(
        dispatched(&harness.fire_timer_at(404 * MILLISECOND)),
        [attempt(1, 0)]
    );
}
