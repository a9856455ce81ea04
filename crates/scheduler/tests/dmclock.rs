//! The dmClock tags, on examples worked out by hand: reservations, weights, limits and remote
//! units.

mod common;

use common::{
    dispatched_requests, served, settings, volume_plan, SchedulerHarness, MILLISECOND, SECOND,
};
use io_scheduler::{Event, Micros, Settings, Units};

/// Settings whose latency objective plays no part, so that the tags alone decide.
fn settings_of_tags() -> Settings {
    let mut settings = settings();
    settings.classes[0].latency_objective = 30 * SECOND;
    settings
}

/// Completes the attempts in flight one after another, with a pause before each, until this many
/// further ones were dispatched; returns their requests in order.
fn dispatch_order(
    harness: &mut SchedulerHarness,
    mut in_flight: Vec<u64>,
    count: usize,
    pause: Micros,
) -> Vec<u64> {
    let mut order = vec![];
    while order.len() < count && !in_flight.is_empty() {
        let completed = in_flight.remove(0);
        let now = harness.now + pause;
        let actions = harness.handle_at(now, &[served(completed, MILLISECOND)]);
        for request in dispatched_requests(&actions) {
            in_flight.push(request);
            order.push(request);
        }
    }
    order
}

#[test]
fn weights_divide_a_node_in_proportion() {
    let mut settings = settings_of_tags();
    settings.plans = vec![volume_plan(0.0, 1.0, 0.0), volume_plan(0.0, 3.0, 0.0)];
    let mut harness = SchedulerHarness::new(settings, 1);
    harness.warm_up(0);
    let in_flight = harness.occupy_node(5);
    let mut heavy_requests = vec![];
    let mut events = vec![];
    for _ in 0..12 {
        events.push(Event::RequestReceived(harness.request_of_volume(
            0,
            0,
            60 * SECOND,
        )));
        let heavy = harness.request_of_volume(1, 1, 60 * SECOND);
        heavy_requests.push(heavy.id.0);
        events.push(Event::RequestReceived(heavy));
    }
    harness.handle(&events);
    let order = dispatch_order(&mut harness, in_flight, 12, MILLISECOND);
    let heavy = order
        .iter()
        .filter(|id| heavy_requests.contains(id))
        .count();
    assert!(
        (8..=10).contains(&heavy),
        "three of four for weight 3 against 1: {heavy} of 12"
    );
}

#[test]
fn a_due_reservation_is_dispatched_before_any_weight() {
    let mut settings = settings_of_tags();
    settings.plans = vec![volume_plan(10.0, 1.0, 0.0), volume_plan(0.0, 1.0, 0.0)];
    let mut harness = SchedulerHarness::new(settings, 1);
    harness.warm_up(0);
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
    // Reservation tags of the reserved volume (requests 5 to 7): 0.0, 0.1 and 0.2 s. An attempt
    // completes every 60 ms.
    let order = dispatch_order(&mut harness, in_flight, 6, 60 * MILLISECOND);
    // The other volume became active last and has the smallest share tag. 60 ms: 5 is due; 120: 6;
    // 180: none, so 8 by weight; 240: 7 is due; then 9 and 10 by weight.
    assert_eq!(order, [5, 6, 8, 7, 9, 10]);
}

/// The first attempt of a request at node 0 was served, and the node reports units of other hosts.
fn served_with_remote_units(request: u64, remote_units: f64) -> Event {
    let mut end = served(request, MILLISECOND);
    if let Event::AttemptCompleted(attempt) = &mut end {
        attempt.remote_units = Units(remote_units);
    }
    end
}

#[test]
fn remote_units_delay_a_volume() {
    let mut settings = settings_of_tags();
    settings.reports_remote_units = true;
    let mut harness = SchedulerHarness::new(settings, 1);
    harness.warm_up(0);
    let in_flight = harness.occupy_node(5);
    // Volume 1 is served once with eight remote units reported, volume 2 once with none.
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
    let refill = harness.occupy_node(2);
    assert_eq!(refill.len(), 2);
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
    in_flight.extend(refill);
    let order = dispatch_order(&mut harness, in_flight, 4, MILLISECOND);
    assert!(
        order.iter().all(|id| second_volume.contains(id)),
        "volume 2 catches up first: {order:?}"
    );
}

#[test]
fn a_host_spends_only_its_part_of_a_limit_and_starts_with_an_empty_token_bucket() {
    let mut settings = settings();
    settings.plans[0] = volume_plan(0.0, 1.0, 10.0);
    let mut harness = SchedulerHarness::new(settings, 1);
    let mut spent = 0.0;
    // Two hosts: five units a second and no more than five at once, none of them at the start.
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
            spent += 1.0;
            harness.handle(&[served(id, MILLISECOND)]);
        }
        assert!(
            spent <= 5.0 * elapsed_ms as f64 / 1e3 + 1e-6,
            "{spent} at {elapsed_ms} ms"
        );
    }
    assert!(spent >= 18.0, "{spent}");
}
