//! dmClock tags, with examples calculated by hand: reservations, weights, limits and remote units.

mod common;

use common::{
    default_settings, dispatched_requests, served, volume_plan, SchedulerHarness, MILLISECOND,
    SECOND,
};
use io_scheduler::{Event, Micros, Settings, Units};

/// Returns settings with a latency objective that no request misses, so that only the tags
/// determine the order of dispatches.
fn settings_with_long_latency_objective() -> Settings {
    let mut settings = default_settings();
    settings.classes[0].latency_objective = 30 * SECOND;
    settings
}

/// Completes the attempts in flight one after another, with `interval` before each, until `count`
/// further attempts were dispatched. Returns their request ids in order.
fn dispatch_order(
    harness: &mut SchedulerHarness,
    mut in_flight: Vec<u64>,
    count: usize,
    interval: Micros,
) -> Vec<u64> {
    let mut order = vec![];
    while order.len() < count && !in_flight.is_empty() {
        let completed = in_flight.remove(0);
        let now = harness.now + interval;
        let actions = harness.handle_at(now, &[served(completed, MILLISECOND)]);
        for request in dispatched_requests(&actions) {
            in_flight.push(request);
            order.push(request);
        }
    }
    order
}

#[test]
fn dispatches_are_divided_in_proportion_to_weights() {
    let mut settings = settings_with_long_latency_objective();
    settings.plans = vec![volume_plan(0.0, 1.0, 0.0), volume_plan(0.0, 3.0, 0.0)];
    let mut harness = SchedulerHarness::new(settings, 1);
    harness.raise_concurrency_limit(0);
    let in_flight = harness.occupy_node_0(5);
    let mut heavy_requests = vec![];
    let mut events = vec![];
    for _ in 0..12 {
        events.push(Event::RequestReceived(harness.request_of_volume(
            0,
            0,
            60 * SECOND,
        )));
        let heavy_request = harness.request_of_volume(1, 1, 60 * SECOND);
        heavy_requests.push(heavy_request.id.0);
        events.push(Event::RequestReceived(heavy_request));
    }
    harness.handle(&events);
    let order = dispatch_order(&mut harness, in_flight, 12, MILLISECOND);
    let heavy_count = order
        .iter()
        .filter(|id| heavy_requests.contains(id))
        .count();
    assert!(
        (8..=10).contains(&heavy_count),
        "volume with weight 3 against 1 got {heavy_count} of 12 dispatches, not about 9"
    );
}

#[test]
fn request_with_a_due_reservation_tag_is_dispatched_before_others() {
    let mut settings = settings_with_long_latency_objective();
    settings.plans = vec![volume_plan(10.0, 1.0, 0.0), volume_plan(0.0, 1.0, 0.0)];
    let mut harness = SchedulerHarness::new(settings, 1);
    harness.raise_concurrency_limit(0);
    let mut events = vec![];
    for _ in 0..5 {
        events.push(Event::RequestReceived(harness.request_of_volume(
            99,
            1,
            60 * SECOND,
        )));
    }
    let in_flight = dispatched_requests(&harness.handle(&events));
    let mut events = vec![];
    for (volume, plan) in [(1, 0), (1, 0), (1, 0), (2, 1), (2, 1), (2, 1)] {
        events.push(Event::RequestReceived(harness.request_of_volume(
            volume,
            plan,
            60 * SECOND,
        )));
    }
    harness.handle(&events);
    // The reservation tags of volume 1 (requests 5 to 7) are 0, 100 and 200 ms. An attempt
    // completes every 60 ms.
    let order = dispatch_order(&mut harness, in_flight, 6, 60 * MILLISECOND);
    // Volume 2 (requests 8 to 10) became active last and has the smallest share tag. The requests
    // are dispatched in this order:
    // - 60 ms: request 5, whose reservation tag is due
    // - 120 ms: request 6, whose reservation tag is due
    // - 180 ms: request 8, which has the smallest share tag; no reservation tag is due
    // - 240 ms: request 7, whose reservation tag is due
    // - 300 and 360 ms: requests 9 and 10, the only ones left
    assert_eq!(order, [5, 6, 8, 7, 9, 10]);
}

/// Returns the event that node 0 served the first attempt of a request and reported remote units.
fn served_with_remote_units(request: u64, remote_units: f64) -> Event {
    let mut completion = served(request, MILLISECOND);
    if let Event::AttemptCompleted(attempt) = &mut completion {
        attempt.remote_units = Units(remote_units);
    }
    completion
}

#[test]
fn remote_units_delay_the_requests_of_the_volume() {
    let mut settings = settings_with_long_latency_objective();
    settings.reports_remote_units = true;
    let mut harness = SchedulerHarness::new(settings, 1);
    harness.raise_concurrency_limit(0);
    let in_flight = harness.occupy_node_0(5);
    // One request of each volume is served. The response to volume 1 reports eight remote units,
    // the one to volume 2 reports none.
    let first = harness.request_of_volume(1, 0, 60 * SECOND);
    let second = harness.request_of_volume(2, 0, 60 * SECOND);
    harness.handle(&[
        Event::RequestReceived(first),
        Event::RequestReceived(second),
    ]);
    harness.handle_at(
        MILLISECOND,
        &[
            served(in_flight[0], MILLISECOND),
            served(in_flight[1], MILLISECOND),
        ],
    );
    harness.handle_at(
        2 * MILLISECOND,
        &[served_with_remote_units(5, 8.0), served(6, MILLISECOND)],
    );
    let additional = harness.occupy_node_0(2);
    assert_eq!(additional.len(), 2);
    let mut second_volume = vec![];
    let mut events = vec![];
    for _ in 0..4 {
        events.push(Event::RequestReceived(harness.request_of_volume(
            1,
            0,
            60 * SECOND,
        )));
        let request = harness.request_of_volume(2, 0, 60 * SECOND);
        second_volume.push(request.id.0);
        events.push(Event::RequestReceived(request));
    }
    harness.handle(&events);
    let mut in_flight = in_flight[2..].to_vec();
    in_flight.extend(additional);
    let order = dispatch_order(&mut harness, in_flight, 4, MILLISECOND);
    assert!(
        order.iter().all(|id| second_volume.contains(id)),
        "only requests of volume 2 should be dispatched: {order:?}"
    );
}

#[test]
fn limit_is_divided_by_the_host_count_and_the_token_bucket_starts_empty() {
    let mut settings = default_settings();
    settings.plans[0] = volume_plan(0.0, 1.0, 10.0);
    let mut harness = SchedulerHarness::new(settings, 1);
    let mut dispatched_units = 0.0;
    // The limit of ten units per second is divided by two hosts, and so is the burst capacity of
    // ten units: this host may dispatch five units per second, and none at the start.
    for elapsed_ms in 0..4_000 {
        harness.now = elapsed_ms * MILLISECOND;
        let mut events = vec![Event::TimerFired];
        if elapsed_ms % 20 == 0 {
            let mut request = harness.request(Some(0));
            request.host_count = 2.0;
            request.deadline = harness.now + 60 * SECOND;
            events.push(Event::RequestReceived(request));
        }
        for id in dispatched_requests(&harness.handle(&events)) {
            dispatched_units += 1.0;
            harness.handle(&[served(id, MILLISECOND)]);
        }
        assert!(
            dispatched_units <= 5.0 * elapsed_ms as f64 / 1e3 + 1e-6,
            "{dispatched_units} units after {elapsed_ms} ms"
        );
    }
    assert!(dispatched_units >= 18.0, "{dispatched_units} units in 4 s");
}
