//! Final responses while the host shuts down and is killed a stated time later.

mod common;

use common::{
    default_settings, dispatched_attempts, failed_requests, rejected_requests, request_class,
    served, SchedulerHarness, MILLISECOND, SECOND,
};
use io_scheduler::{Action, Event, Idempotency, Micros, Settings};

/// The kill comes this long after the longest deadline, counted from the request to shut down.
const KILL_DELAY: Micros = 700 * MILLISECOND;
/// A longest deadline above this counts as this.
const MAX_COUNTED_DEADLINE: Micros = 3 * SECOND;
/// How long the host may be held up before it handles the request to shut down, and again before it
/// writes responses.
const MAX_HOLD: Micros = 150 * MILLISECOND;

/// Settings in which clients wait for at most `longest_client_timeout`.
fn settings_with_timeout(longest_client_timeout: Micros) -> Settings {
    let mut settings = default_settings();
    settings.longest_client_timeout = longest_client_timeout;
    settings
}

/// Handles timers every 10 ms from the current time to `end`, and returns all actions.
fn fire_timers_until(harness: &mut SchedulerHarness, start: Micros, end: Micros) -> Vec<Action> {
    let mut actions = Vec::new();
    for now in (start..=end).step_by(10 * MILLISECOND as usize) {
        actions.extend(harness.fire_timer_at(now));
    }
    actions
}

/// Requests with a deadline after the kill: one from before the shutdown, one from well after it.
#[test]
fn requests_that_may_wait_until_after_the_kill_have_a_response_before_it() {
    for longest in [200 * MILLISECOND, SECOND, 3 * SECOND, 12 * SECOND] {
        let mut harness = SchedulerHarness::new(settings_with_timeout(longest), 1);
        let latest = longest.min(MAX_COUNTED_DEADLINE) + KILL_DELAY - 2 * MAX_HOLD;
        let mut before = harness.request(Some(0));
        before.deadline = 20 * SECOND;
        assert_eq!(dispatched_attempts(&harness.receive(before)).len(), 1);
        harness.handle_at(0, &[Event::ShutdownRequested]);
        let mut after = harness.request(Some(0));
        after.deadline = 20 * SECOND;
        let mut actions = harness.handle_at(latest / 2, &[Event::RequestReceived(after)]);
        actions.extend(fire_timers_until(&mut harness, latest / 2, latest));
        let mut answered = rejected_requests(&actions);
        answered.sort_unstable();
        assert_eq!(answered, [0, 1], "longest timeout {longest} us");
    }
}

#[test]
fn write_that_may_have_been_executed_fails_before_the_kill() {
    let mut settings = settings_with_timeout(3 * SECOND);
    settings.classes[0] = request_class(Idempotency::NonIdempotent);
    let mut harness = SchedulerHarness::new(settings, 1);
    let mut request = harness.request(Some(0));
    request.deadline = 20 * SECOND;
    harness.receive(request);
    harness.handle_at(0, &[Event::ShutdownRequested]);
    let latest = 3 * SECOND + KILL_DELAY - 2 * MAX_HOLD;
    let actions = fire_timers_until(&mut harness, 0, latest);
    assert_eq!(failed_requests(&actions), [0]);
}

/// The second request to shut down, for example a repeated signal, does not postpone the end.
#[test]
fn repeated_shutdown_request_does_not_postpone_the_last_responses() {
    let mut harness = SchedulerHarness::new(settings_with_timeout(3 * SECOND), 1);
    harness.handle_at(0, &[Event::ShutdownRequested]);
    harness.handle_at(3 * SECOND, &[Event::ShutdownRequested]);
    let end = 3 * SECOND + KILL_DELAY - 2 * MAX_HOLD;
    let actions = fire_timers_until(&mut harness, 3 * SECOND, end);
    let closes = actions
        .iter()
        .filter(|action| **action == Action::CloseClients);
    assert_eq!(closes.count(), 1);
    let late = harness.request(Some(0));
    let actions = harness.handle_at(end, &[Event::RequestReceived(late)]);
    assert_eq!(rejected_requests(&actions), [0]);
    assert!(dispatched_attempts(&actions).is_empty());
}

/// Late requests are queued in the order of their deadlines, which the shutdown changes.
#[test]
fn late_request_that_is_queued_at_the_shutdown_is_dispatched_or_rejected_once() {
    for completed_at in [1_100 * MILLISECOND, 4 * SECOND] {
        let mut harness = SchedulerHarness::new(settings_with_timeout(3 * SECOND), 1);
        harness.raise_concurrency_limit(0);
        let occupying = harness.occupy_node_0(5);
        let mut late = harness.request(Some(0));
        late.deadline = 20 * SECOND;
        let id = late.id.0;
        assert!(dispatched_attempts(&harness.receive(late)).is_empty());
        harness.fire_timer_at(harness.now + SECOND);
        let start = harness.now;
        harness.handle(&[Event::ShutdownRequested]);
        let completions: Vec<Event> = occupying
            .iter()
            .map(|request| served(*request, 10 * MILLISECOND))
            .collect();
        let mut actions = harness.handle_at(start + completed_at, &completions);
        let from = start + completed_at;
        actions.extend(fire_timers_until(&mut harness, from, from + 4 * SECOND));
        let dispatches = dispatched_attempts(&actions);
        let dispatches = dispatches.iter().filter(|attempt| attempt.request == id);
        assert!(dispatches.count() <= 1);
        let rejections = rejected_requests(&actions);
        assert_eq!(
            rejections.iter().filter(|request| **request == id).count(),
            1
        );
    }
}
