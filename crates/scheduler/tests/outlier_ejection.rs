//! Outlier ejection: when failing nodes are ejected, and when they are used again.

mod common;

use common::{
    attempt, attempt_completed, default_settings, dispatched_attempts, SchedulerHarness,
    MILLISECOND, SECOND,
};
use io_scheduler::{Event, Outcome, RequestId};

#[test]
fn served_trial_attempt_ends_the_ejection_of_a_node() {
    let mut harness = SchedulerHarness::new(default_settings(), 2);
    harness.raise_concurrency_limit(0);
    for _ in 0..3 {
        harness.fail_without_retry(0, Outcome::ConnectFailed);
    }
    harness.now += SECOND;
    let (trial, next) = (harness.request(Some(0)), harness.request(Some(0)));
    let (trial_id, next_id) = (trial.id.0, next.id.0);
    let actions = harness.handle(&[Event::RequestReceived(trial), Event::RequestReceived(next)]);
    assert_eq!(dispatched_attempts(&actions), [attempt(trial_id, 0)]);
    let trial_served = attempt_completed(trial_id, 0, 0, Outcome::Served, MILLISECOND);
    let actions = harness.handle_at(harness.now + MILLISECOND, &[trial_served]);
    assert_eq!(dispatched_attempts(&actions), [attempt(next_id, 0)]);
}

#[test]
fn ejection_has_an_effect_unless_most_nodes_are_ejected() {
    let mut settings = default_settings();
    settings.classes[0].latency_objective = 10 * SECOND;
    for failing_nodes in [1, 3] {
        let mut harness = SchedulerHarness::new(settings.clone(), 4);
        harness.raise_concurrency_limit(0);
        for node in 0..failing_nodes {
            for _ in 0..3 {
                let mut request = harness.request(Some(node));
                request.deadline = 60 * SECOND;
                let id = request.id.0;
                assert_eq!(
                    dispatched_attempts(&harness.receive(request)),
                    [attempt(id, node)]
                );
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
        let dispatched_count = dispatched_attempts(&harness.handle(&requests)).len();
        // One failing node of four is ejected and gets a single trial attempt. If three of four
        // fail, more nodes are ejected than not (panic threshold), and none is treated as ejected.
        let expected_count = if failing_nodes == 1 { 1 } else { 3 };
        assert_eq!(
            dispatched_count, expected_count,
            "{failing_nodes} of four nodes fail"
        );
    }
}
