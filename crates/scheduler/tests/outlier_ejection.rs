//! When nodes that fail are ejected, and when they are used again.

mod common;

use common::{
    attempt, attempt_completed, dispatched, settings, SchedulerHarness, MILLISECOND, SECOND,
};
use io_scheduler::{Event, Outcome, RequestId};

#[test]
fn an_ejected_node_that_serves_its_trial_request_is_used_at_once() {
    let mut harness = SchedulerHarness::new(settings(), 2);
    harness.warm_up(0);
    for _ in 0..3 {
        harness.fail_without_retry(0, Outcome::ConnectFailed);
    }
    harness.now += SECOND;
    let (trial, next) = (harness.request(Some(0)), harness.request(Some(0)));
    let (trial_id, next_id) = (trial.id.0, next.id.0);
    let actions = harness.handle(&[Event::RequestReceived(trial), Event::RequestReceived(next)]);
    assert_eq!(dispatched(&actions), [attempt(trial_id, 0)]);
    let trial_served = attempt_completed(trial_id, 0, 0, Outcome::Served, MILLISECOND);
    let actions = harness.handle_at(harness.now + MILLISECOND, &[trial_served]);
    assert_eq!(dispatched(&actions), [attempt(next_id, 0)]);
}

#[test]
fn no_node_is_ejected_while_most_nodes_fail() {
    let mut settings = settings();
    settings.classes[0].latency_objective = 10 * SECOND;
    for failing_nodes in [1, 3] {
        let mut harness = SchedulerHarness::new(settings.clone(), 4);
        harness.warm_up(0);
        for node in 0..failing_nodes {
            for _ in 0..3 {
                let mut request = harness.request(Some(node));
                request.deadline = 60 * SECOND;
                let id = request.id.0;
                assert_eq!(dispatched(&harness.receive(request)), [attempt(id, node)]);
                harness.handle(&[
                    attempt_completed(id, 0, node, Outcome::ConnectFailed, MILLISECOND),
                    Event::ResponseNotNeeded(RequestId(id)),
                ]);
            }
        }
        harness.now = 20 * SECOND;
        let mut requests = Vec::new();
        for _ in 0..3 {
            requests.push(Event::RequestReceived(harness.request_of_volume(
                0,
                0,
                60 * SECOND,
            )));
        }
        let count = dispatched(&harness.handle(&requests)).len();
        // One failing node of four is ejected and gets a single trial request.
        let expected = if failing_nodes == 1 { 1 } else { 3 };
        assert_eq!(count, expected, "{failing_nodes} of four nodes fail");
    }
}
