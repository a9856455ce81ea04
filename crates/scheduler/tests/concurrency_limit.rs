//! How many attempts a host has in flight at a node, and how that follows the node's latency.

mod common;

use common::{
    attempt, dispatched, dispatched_requests, served, settings, volume_plan, SchedulerHarness,
    MILLISECOND, SECOND,
};
use io_scheduler::{Event, Micros, Request, Units, UnitsPerSecond, VolumeId};

#[test]
fn a_host_has_one_attempt_in_flight_at_an_unmeasured_node_and_fast_responses_raise_the_limit() {
    for (hosts, measured, in_flight) in
        [(3, false, 1), (200, false, 1), (3, true, 5), (200, true, 5)]
    {
        let mut settings = settings();
        settings.host_count = hosts;
        let mut harness = SchedulerHarness::new(settings, 1);
        if measured {
            harness.warm_up(0);
        }
        let mut events = Vec::new();
        for _ in 0..8 {
            events.push(Event::RequestReceived(harness.request(Some(0))));
        }
        let attempts = dispatched(&harness.handle(&events)).len();
        assert_eq!(attempts, in_flight, "{hosts} hosts, measured {measured}");
    }
}

fn all_served(requests: &[u64], latency: Micros) -> Vec<Event> {
    requests.iter().map(|id| served(*id, latency)).collect()
}

/// Lets the node respond with this latency for many rounds; returns how many attempts of the last
/// round were in flight at once.
fn in_flight_after_responses(harness: &mut SchedulerHarness, latency: Micros) -> usize {
    let mut in_flight = 0;
    for _ in 0..40 {
        let attempts = harness.occupy_node(6);
        in_flight = attempts.len();
        harness.now += 2 * SECOND;
        let following = dispatched_requests(&harness.handle(&all_served(&attempts, latency)));
        harness.now += 59 * SECOND;
        harness.handle(&all_served(&following, latency));
        harness.now += 2 * SECOND;
        harness.fire_timer_at(harness.now);
    }
    in_flight
}

#[test]
fn slow_responses_lower_the_concurrency_limit_and_fast_ones_restore_it() {
    let mut harness = SchedulerHarness::new(settings(), 1);
    assert!(in_flight_after_responses(&mut harness, 300 * MILLISECOND) <= 1);
    assert_eq!(in_flight_after_responses(&mut harness, 5 * MILLISECOND), 5);
}

#[test]
fn a_slow_node_without_recent_responses_gets_a_request_again() {
    // Without dispatches there are no measurements: the node would count as slow forever.
    let mut settings = settings();
    settings.classes[0].latency_objective = 100 * MILLISECOND;
    let mut harness = SchedulerHarness::new(settings, 1);
    let request = harness.request(Some(0));
    harness.receive(request);
    harness.handle_at(SECOND, &[served(0, SECOND)]);
    let request = harness.request(Some(0));
    let actions = harness.handle_at(SECOND + MILLISECOND, &[Event::RequestReceived(request)]);
    assert!(
        dispatched(&actions).is_empty(),
        "a second is beyond the latency objective"
    );
    harness.now = 3 * SECOND;
    let request = harness.request(Some(0));
    assert_eq!(
        dispatched(&harness.receive(request)).first(),
        Some(&attempt(2, 0))
    );
}

#[test]
fn while_responses_are_slow_reserved_requests_are_dispatched_before_the_others() {
    // Responses of 200 ms against a latency objective of 500 ms: the concurrency limit falls below
    // one.
    let latency = 200 * MILLISECOND;
    for (reservation, is_dispatched) in [(100.0, true), (0.0, false)] {
        let mut settings = settings();
        settings.plans = vec![
            volume_plan(100.0, 1.0, 0.0),
            volume_plan(reservation, 1.0, 0.0),
        ];
        let mut harness = SchedulerHarness::new(settings, 1);
        for id in 0..4 {
            let request = harness.request(Some(0));
            assert_eq!(dispatched(&harness.receive(request)), [attempt(id, 0)]);
            harness.handle_at(harness.now + latency, &[served(id, latency)]);
            harness.now += 2 * SECOND;
        }
        let request = harness.request(Some(0));
        harness.receive(request);
        harness.handle_at(harness.now + latency, &[served(4, latency)]);
        harness.now += 700 * MILLISECOND;
        let request = harness.request_of_volume(1, 1, harness.now + 20 * SECOND);
        let attempts = dispatched(&harness.receive(request));
        assert_eq!(
            !attempts.is_empty(),
            is_dispatched,
            "reservation {reservation}"
        );
    }
}

/// Sends a request of volume 1 and lets the node serve it in 100 ms; returns how long it waited for
/// its dispatch.
fn wait_for_dispatch(harness: &mut SchedulerHarness, units: f64) -> Micros {
    const LATENCY: Micros = 100 * MILLISECOND;
    let deadline = harness.now + 20 * SECOND;
    let request = Request {
        volume: VolumeId(1),
        units: Units(units),
        deadline,
        ..harness.request(Some(0))
    };
    let id = request.id.0;
    let received_at = harness.now;
    let mut attempts = dispatched(&harness.receive(request));
    for _ in 0..80 {
        if attempts.is_empty() {
            attempts = dispatched(&harness.fire_timer_at(harness.now + 5 * MILLISECOND));
        }
    }
    let waited = harness.now - received_at;
    harness.handle_at(harness.now + LATENCY, &[served(id, LATENCY)]);
    waited
}

#[test]
fn a_volume_above_its_provisioned_rate_waits_longer_for_capacity() {
    // Volume 1 is provisioned for five units a second. Ten more at once put it above that rate.
    let mut waits = vec![];
    for burst in [0.0, 10.0] {
        let mut settings = settings();
        settings.plans[0] = volume_plan(0.0, 1.0, 0.0);
        settings.plans[0].provisioned_rate = UnitsPerSecond(5.0);
        settings.usage_report_period = SECOND;
        let mut harness = SchedulerHarness::new(settings, 1);
        wait_for_dispatch(&mut harness, 1.0);
        wait_for_dispatch(&mut harness, 1.0 + burst);
        waits.push(wait_for_dispatch(&mut harness, 1.0));
    }
    assert!(waits[0] < waits[1], "{waits:?}");
}
