//! Placement: the choice of the node for a new object.

mod common;

use common::{
    attempt, attempt_completed, default_settings, delta, dispatched_attempts, endpoint,
    failed_requests, SchedulerHarness,
};
use common::{MILLISECOND, SECOND};
use io_scheduler::{DeduplicationScope, EndpointStatus, Idempotency, Outcome};

#[test]
fn new_object_is_placed_on_the_node_with_the_lowest_latency() {
    let mut settings = default_settings();
    settings.classes[0].latency_objective = 10 * SECOND;
    let mut harness = SchedulerHarness::new(settings, 3);
    for (node, elapsed) in [
        (0, 400 * MILLISECOND),
        (1, 20 * MILLISECOND),
        (2, 200 * MILLISECOND),
    ] {
        harness.serve_request(node, elapsed);
    }
    harness.now += SECOND;
    let new_object = harness.request(None);
    assert_eq!(
        dispatched_attempts(&harness.receive(new_object)),
        [attempt(3, 1)]
    );
}

#[test]
fn new_object_is_not_placed_on_a_node_with_a_high_error_rate() {
    // Node 0 is idle and fast. Only its error rate shows that it is faulty.
    let mut harness = SchedulerHarness::new(default_settings(), 2);
    for _ in 0..4 {
        harness.fail_without_retry(0, Outcome::Error);
    }
    harness.serve_request(0, MILLISECOND);
    harness.serve_request(1, 50 * MILLISECOND);
    harness.now += SECOND;
    let new_object = harness.request(None);
    let id = new_object.id.0;
    assert_eq!(
        dispatched_attempts(&harness.receive(new_object)),
        [attempt(id, 1)]
    );
}

#[test]
fn new_object_is_retried_at_another_node_unless_it_may_have_been_executed() {
    for (outcome, expects_other_node) in [(Outcome::ConnectFailed, true), (Outcome::Error, false)] {
        let mut settings = default_settings();
        settings.classes[0].idempotency = Idempotency::WithKey {
            scope: DeduplicationScope::Shard,
            window: 5 * SECOND,
        };
        let mut harness = SchedulerHarness::new(settings, 2);
        let new_object = harness.request(None);
        let first_node = dispatched_attempts(&harness.receive(new_object))[0].node;
        harness.handle(&[delta(vec![endpoint(
            first_node,
            EndpointStatus::Draining,
            None,
        )])]);
        let mut actions = harness.handle_at(
            MILLISECOND,
            &[attempt_completed(0, 0, first_node, outcome, MILLISECOND)],
        );
        actions.extend(harness.fire_timer_at(SECOND));
        let used_other_node = dispatched_attempts(&actions)
            .iter()
            .any(|attempt| attempt.node != first_node);
        assert_eq!(used_other_node, expects_other_node, "{outcome:?}");
        assert_eq!(
            failed_requests(&actions),
            if expects_other_node { vec![] } else { vec![0] },
            "{outcome:?}"
        );
    }
}

#[test]
fn new_object_is_not_placed_on_a_node_with_a_lowered_concurrency_limit() {
    // Node 0 responded slowly several times and then faster. Its mean latency is lower than that of
    // node 1 again, but its concurrency limit was lowered by responses that took more than a
    // quarter of the latency objective (125 ms). All responses of node 1 took slightly less than
    // that.
    let mut harness = SchedulerHarness::new(default_settings(), 2);
    let mut serve_then_wait = |node, elapsed| {
        let id = harness.serve_request(node, elapsed);
        harness.now += 5 * SECOND;
        id
    };
    for _ in 0..6 {
        serve_then_wait(0, 126 * MILLISECOND);
        serve_then_wait(1, 124 * MILLISECOND);
    }
    for _ in 0..2 {
        serve_then_wait(0, 100 * MILLISECOND);
    }
    let id = serve_then_wait(1, 124 * MILLISECOND) + 1;
    let new_object = harness.request(None);
    assert_eq!(
        dispatched_attempts(&harness.receive(new_object)),
        [attempt(id, 1)]
    );
}
