//! Dispatching follows the endpoint list.

mod common;

use common::{
    attempt, attempt_completed, delta, dispatched, endpoint, rejected, settings, snapshot,
    SchedulerHarness, MILLISECOND, SECOND,
};
use io_scheduler::{EndpointStatus, Event, Outcome, Shard};

#[test]
fn a_request_for_an_unlisted_node_is_pending_until_the_node_is_listed_or_the_deadline_passes() {
    let mut harness = SchedulerHarness::new(settings(), 1);
    let request = harness.request(Some(9));
    assert!(dispatched(&harness.receive(request)).is_empty());
    let listed = delta(vec![endpoint(9, EndpointStatus::InService, None)]);
    assert_eq!(
        dispatched(&harness.handle_at(400 * MILLISECOND, &[listed])),
        [attempt(0, 9)]
    );
    let request = harness.request(Some(8));
    harness.receive(request);
    let end = attempt_completed(0, 0, 9, Outcome::Served, 10 * MILLISECOND);
    harness.handle_at(410 * MILLISECOND, &[end]);
    assert_eq!(rejected(&harness.fire_timer_at(3 * SECOND)), [1]);
}

#[test]
fn nothing_is_dispatched_to_a_draining_or_removed_node() {
    for status in [EndpointStatus::Draining, EndpointStatus::Removed] {
        let mut harness = SchedulerHarness::new(settings(), 1);
        harness.handle(&[delta(vec![endpoint(0, status, None)])]);
        let request = harness.request(Some(0));
        let actions = harness.handle_at(SECOND, &[Event::RequestReceived(request)]);
        assert!(dispatched(&actions).is_empty());
    }
    let mut harness = SchedulerHarness::new(settings(), 1);
    harness.handle(&[snapshot(vec![endpoint(5, EndpointStatus::InService, None)])]);
    let request = harness.request(Some(0));
    assert!(
        dispatched(&harness.receive(request)).is_empty(),
        "not part of a complete list"
    );
}

#[test]
fn a_successor_takes_over_the_pending_requests_of_its_shard() {
    let mut harness = SchedulerHarness::new(settings(), 1);
    harness.handle(&[delta(vec![endpoint(0, EndpointStatus::Draining, None)])]);
    let request = harness.request(Some(0));
    assert!(dispatched(&harness.receive(request)).is_empty());
    let mut successor = endpoint(7, EndpointStatus::InService, None);
    successor.shard = Shard(0);
    assert_eq!(
        dispatched(&harness.handle(&[delta(vec![successor])])),
        [attempt(0, 7)]
    );
}
