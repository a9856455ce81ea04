//! To which node a new object goes.

mod common;

use common::{
    attempt, attempt_completed, delta, dispatched, endpoint, failed, settings, SchedulerHarness,
};
use common::{MILLISECOND, SECOND};
use io_scheduler::{DeduplicationScope, EndpointStatus, Idempotency, Outcome};

#[test]
fn a_new_object_goes_to_the_node_with_the_fastest_responses() {
    let mut settings = settings();
    settings.classes[0].latency_objective = 10 * SECOND;
    let mut harness = SchedulerHarness::new(settings, 3);
    for (node, elapsed) in [
        (0, 400 * MILLISECOND),
        (1, 20 * MILLISECOND),
        (2, 200 * MILLISECOND),
    ] {
        harness.serve(node, elapsed);
    }
    harness.now += SECOND;
    let new_object = harness.request(None);
    assert_eq!(dispatched(&harness.receive(new_object)), [attempt(3, 1)]);
}

#[test]
fn a_node_that_fails_fast_gets_no_new_object() {
    // Node 0 looks idle and fast; only its error rate tells that it is faulty.
    let mut harness = SchedulerHarness::new(settings(), 2);
    for _ in 0..4 {
        harness.fail_without_retry(0, Outcome::Error);
    }
    harness.serve(0, MILLISECOND);
    harness.serve(1, 50 * MILLISECOND);
    harness.now += SECOND;
    let new_object = harness.request(None);
    let id = new_object.id.0;
    assert_eq!(dispatched(&harness.receive(new_object)), [attempt(id, 1)]);
}

#[test]
fn a_new_object_moves_to_another_node_only_if_its_attempt_never_ran() {
    for (outcome, moves) in [(Outcome::ConnectFailed, true), (Outcome::Error, false)] {
        let mut settings = settings();
        settings.classes[0].idempotency = Idempotency::WithKey {
            scope: DeduplicationScope::Shard,
            window: 5 * SECOND,
        };
        let mut harness = SchedulerHarness::new(settings, 2);
        let new_object = harness.request(None);
        let first_node = dispatched(&harness.receive(new_object))[0].node;
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
        let moved = dispatched(&actions)
            .iter()
            .any(|attempt| attempt.node != first_node);
        assert_eq!(moved, moves, "{outcome:?}");
        assert_eq!(
            failed(&actions),
            if moves { vec![] } else { vec![0] },
            "{outcome:?}"
        );
    }
}

#[test]
fn a_new_object_avoids_a_node_with_a_lowered_concurrency_limit() {
    // Node 0 was slow several times and then fast: its mean latency is the lower one again, but
    // hosts that measured it as slow have lowered their concurrency limits there. Node 1 answers
    // evenly, within a quarter of the latency objective.
    let mut harness = SchedulerHarness::new(settings(), 2);
    let mut serve_and_pause = |node, elapsed| {
        let id = harness.serve(node, elapsed);
        harness.now += 5 * SECOND;
        id
    };
    for _ in 0..6 {
        serve_and_pause(0, 126 * MILLISECOND);
        serve_and_pause(1, 124 * MILLISECOND);
    }
    for _ in 0..2 {
        serve_and_pause(0, 100 * MILLISECOND);
    }
    let id = serve_and_pause(1, 124 * MILLISECOND) + 1;
    let new_object = harness.request(None);
    assert_eq!(dispatched(&harness.receive(new_object)), [attempt(id, 1)]);
}
