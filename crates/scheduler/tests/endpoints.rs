//! The endpoint list determines to which nodes attempts are dispatched.

mod common;

use common::{
    attempt, attempt_completed, default_settings, delta, dispatched_attempts, endpoint,
    rejected_requests, snapshot, SchedulerHarness, MILLISECOND, SECOND,
};
use io_scheduler::{Action, EndpointListEvent, EndpointStatus, Event, Outcome, Shard};

#[test]
fn request_for_an_unlisted_node_is_pending_until_the_node_is_listed_or_the_deadline_passes() {
    let mut harness = SchedulerHarness::new(default_settings(), 1);
    let request = harness.request(Some(9));
    assert!(dispatched_attempts(&harness.receive(request)).is_empty());
    let node_added = delta(vec![endpoint(9, EndpointStatus::InService, None)]);
    assert_eq!(
        dispatched_attempts(&harness.handle_at(400 * MILLISECOND, &[node_added])),
        [attempt(0, 9)]
    );
    let request = harness.request(Some(8));
    harness.receive(request);
    let completion = attempt_completed(0, 0, 9, Outcome::Served, 10 * MILLISECOND);
    harness.handle_at(410 * MILLISECOND, &[completion]);
    assert_eq!(rejected_requests(&harness.fire_timer_at(3 * SECOND)), [1]);
}

#[test]
fn no_attempt_is_dispatched_to_a_draining_or_removed_node() {
    for status in [EndpointStatus::Draining, EndpointStatus::Removed] {
        let mut harness = SchedulerHarness::new(default_settings(), 1);
        harness.handle(&[delta(vec![endpoint(0, status, None)])]);
        let request = harness.request(Some(0));
        let actions = harness.handle_at(SECOND, &[Event::RequestReceived(request)]);
        assert!(dispatched_attempts(&actions).is_empty());
    }
    let mut harness = SchedulerHarness::new(default_settings(), 1);
    harness.handle(&[snapshot(vec![endpoint(5, EndpointStatus::InService, None)])]);
    let request = harness.request(Some(0));
    assert!(
        dispatched_attempts(&harness.receive(request)).is_empty(),
        "a node that is missing from a snapshot should get no attempts"
    );
}

#[test]
fn pending_requests_are_dispatched_to_the_successor_of_a_draining_node() {
    let mut harness = SchedulerHarness::new(default_settings(), 1);
    harness.handle(&[delta(vec![endpoint(0, EndpointStatus::Draining, None)])]);
    let request = harness.request(Some(0));
    assert!(dispatched_attempts(&harness.receive(request)).is_empty());
    let mut successor = endpoint(7, EndpointStatus::InService, None);
    successor.shard = Shard(0);
    assert_eq!(
        dispatched_attempts(&harness.handle(&[delta(vec![successor])])),
        [attempt(0, 7)]
    );
}

/// A node of the cached list may have started to drain while the host was down.
#[test]
fn unconfirmed_list_is_not_used_before_an_update_or_a_failed_poll() {
    for event in [EndpointListEvent::Delta, EndpointListEvent::PollFailed] {
        let mut harness = SchedulerHarness::new(default_settings(), 0);
        let cached = vec![endpoint(0, EndpointStatus::InService, None)];
        harness.handle(&[Event::EndpointList(EndpointListEvent::Unconfirmed, cached)]);
        let request = harness.request(Some(0));
        let actions = harness.handle_at(SECOND, &[Event::RequestReceived(request)]);
        assert!(dispatched_attempts(&actions).is_empty());
        assert!(!actions.contains(&Action::AcceptClients));
        // Discovery has a new address, which was not polled yet.
        let moved = Event::EndpointList(EndpointListEvent::WatchLost, vec![]);
        assert!(dispatched_attempts(&harness.handle(&[moved])).is_empty());
        let actions = harness.handle(&[Event::EndpointList(event, vec![])]);
        assert_eq!(dispatched_attempts(&actions), [attempt(0, 0)]);
        assert!(actions.contains(&Action::AcceptClients));
    }
}
