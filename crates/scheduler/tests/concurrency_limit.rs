//! Concurrency limit: how many attempts a host may have in flight at a node, depending on the
//! node's latency.

mod common;

use common::{
    attempt, default_settings, dispatched_attempts, dispatched_requests, served, volume_plan,
    SchedulerHarness, MILLISECOND, SECOND,
};
use io_scheduler::{Event, Micros, Request, Units, UnitsPerSecond, VolumeId};

#[test]
fn concurrency_limit_starts_at_one_and_rises_with_fast_responses() {
    for (host_count, has_fast_responses, expected_in_flight) in
        [(3, false, 1), (200, false, 1), (3, true, 5), (200, true, 5)]
    {
        let mut settings = default_settings();
        settings.host_count = host_count;
        let mut harness = SchedulerHarness::new(settings, 1);
        if has_fast_responses {
            harness.raise_concurrency_limit(0);
        }
        let mut events = Vec::new();
        for _ in 0..8 {
            events.push(Event::RequestReceived(harness.request(Some(0))));
        }
        let attempts = dispatched_attempts(&harness.handle(&events)).len();
        assert_eq!(
            attempts, expected_in_flight,
            "{host_count} hosts, fast responses: {has_fast_responses}"
        );
    }
}

fn all_served(requests: &[u64], latency: Micros) -> Vec<Event> {
    requests.iter().map(|id| served(*id, latency)).collect()
}

/// Sends 40 batches of requests to node 0, which serves them with this latency. A batch takes 63 s,
/// longer than the 60 s to the deadline of its requests, so that none of them is pending when the
/// next batch is sent. Returns how many requests of the last batch were dispatched at once.
fn in_flight_after_responses(harness: &mut SchedulerHarness, latency: Micros) -> usize {
    let mut in_flight = 0;
    for _ in 0..40 {
        let attempts = harness.occupy_node_0(6);
        in_flight = attempts.len();
        harness.now += 2 * SECOND;
        let dispatched_later =
            dispatched_requests(&harness.handle(&all_served(&attempts, latency)));
        harness.now += 59 * SECOND;
        harness.handle(&all_served(&dispatched_later, latency));
        harness.now += 2 * SECOND;
        harness.fire_timer_at(harness.now);
    }
    in_flight
}

#[test]
fn slow_responses_lower_the_concurrency_limit_and_fast_responses_restore_it() {
    let mut harness = SchedulerHarness::new(default_settings(), 1);
    assert!(in_flight_after_responses(&mut harness, 300 * MILLISECOND) <= 1);
    assert_eq!(in_flight_after_responses(&mut harness, 5 * MILLISECOND), 5);
}

#[test]
fn slow_node_gets_a_request_after_two_seconds_without_responses() {
    // Guards against a node that is treated as slow forever: without dispatches there are no
    // measurements that could show that it has become fast.
    let mut settings = default_settings();
    settings.classes[0].latency_objective = 100 * MILLISECOND;
    let mut harness = SchedulerHarness::new(settings, 1);
    let request = harness.request(Some(0));
    harness.receive(request);
    harness.handle_at(SECOND, &[served(0, SECOND)]);
    let request = harness.request(Some(0));
    let actions = harness.handle_at(SECOND + MILLISECOND, &[Event::RequestReceived(request)]);
    assert!(
        dispatched_attempts(&actions).is_empty(),
        "the expected latency of 1 s exceeds the latency objective"
    );
    harness.now = 3 * SECOND;
    let request = harness.request(Some(0));
    assert_eq!(
        dispatched_attempts(&harness.receive(request)).first(),
        Some(&attempt(2, 0))
    );
}

#[test]
fn pacing_delays_requests_without_a_reservation_longer_than_those_with_one() {
    // Responses take 200 ms, more than a quarter of the latency objective of 500 ms, so the
    // concurrency limit falls below one and dispatches are paced.
    let latency = 200 * MILLISECOND;
    for (reservation, is_dispatched) in [(100.0, true), (0.0, false)] {
        let mut settings = default_settings();
        settings.plans = vec![
            volume_plan(100.0, 1.0, 0.0),
            volume_plan(reservation, 1.0, 0.0),
        ];
        let mut harness = SchedulerHarness::new(settings, 1);
        for id in 0..4 {
            let request = harness.request(Some(0));
            assert_eq!(
                dispatched_attempts(&harness.receive(request)),
                [attempt(id, 0)]
            );
            harness.handle_at(harness.now + latency, &[served(id, latency)]);
            harness.now += 2 * SECOND;
        }
        let request = harness.request(Some(0));
        harness.receive(request);
        harness.handle_at(harness.now + latency, &[served(4, latency)]);
        harness.now += 700 * MILLISECOND;
        let request = harness.request_of_volume(1, 1, harness.now + 20 * SECOND);
        let attempts = dispatched_attempts(&harness.receive(request));
        assert_eq!(
            !attempts.is_empty(),
            is_dispatched,
            "reservation {reservation}"
        );
    }
}

/// Sends a request of volume 1, which node 0 serves in 100 ms. Returns the time from its receipt to
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
    let mut attempts = dispatched_attempts(&harness.receive(request));
    for _ in 0..80 {
        if attempts.is_empty() {
            attempts = dispatched_attempts(&harness.fire_timer_at(harness.now + 5 * MILLISECOND));
        }
    }
    let waited = harness.now - received_at;
    harness.handle_at(harness.now + LATENCY, &[served(id, LATENCY)]);
    waited
}

#[test]
fn pacing_delays_requests_above_the_provisioned_rate_longer_than_those_within_it() {
    // Volume 1 is provisioned for five units per second. Ten additional units in one request put it
    // above that rate.
    let mut waits = vec![];
    for additional_units in [0.0, 10.0] {
        let mut settings = default_settings();
        settings.plans[0] = volume_plan(0.0, 1.0, 0.0);
        settings.plans[0].provisioned_rate = UnitsPerSecond(5.0);
        settings.usage_report_period = SECOND;
        let mut harness = SchedulerHarness::new(settings, 1);
        wait_for_dispatch(&mut harness, 1.0);
        wait_for_dispatch(&mut harness, 1.0 + additional_units);
        waits.push(wait_for_dispatch(&mut harness, 1.0));
    }
    assert!(waits[0] < waits[1], "{waits:?}");
}
