//! Polling of the discovery service, by a single host and by a fleet of hosts.

mod common;

use common::{default_settings, SchedulerHarness, MILLISECOND, SECOND};
use io_scheduler::{Action, EndpointListEvent, Event, Micros, Scheduler, Settings};
use std::ops::Range;

/// Maximum time that a poll waits for the service to start handling it; after that, the poll fails.
const MAX_POLL_WAIT: Micros = 2 * SECOND;

/// Simulated discovery service, which handles polls one after another. A poll that waits longer
/// than [`MAX_POLL_WAIT`] fails, but takes as much of the service's time as any other.
struct DiscoveryService {
    /// Time that the service takes to handle one poll.
    service_time: Micros,
    /// Time during which the service is down; polls sent in this time fail after
    /// [`MAX_POLL_WAIT`].
    down: Range<Micros>,
    /// Time until which the service is busy with the polls received so far.
    busy_until: Micros,
}

/// A poll that was sent and has not completed.
struct PendingPoll {
    completes_at: Micros,
    result: EndpointListEvent,
}

impl DiscoveryService {
    fn always_up(service_time: Micros) -> DiscoveryService {
        DiscoveryService {
            service_time,
            down: 0..0,
            busy_until: 0,
        }
    }

    fn poll(&mut self, now: Micros) -> PendingPoll {
        let timed_out = PendingPoll {
            completes_at: now + MAX_POLL_WAIT,
            result: EndpointListEvent::PollFailed,
        };
        if self.down.contains(&now) {
            return timed_out;
        }
        let starts_at = now.max(self.busy_until);
        self.busy_until = starts_at + self.service_time;
        if starts_at - now > MAX_POLL_WAIT {
            return timed_out;
        }
        PendingPoll {
            completes_at: starts_at + self.service_time,
            result: EndpointListEvent::Delta,
        }
    }
}

/// A host that polls the discovery service.
struct PollingHost {
    scheduler: Scheduler,
    pending: Option<PendingPoll>,
    /// Time at which the host last got the endpoint list. `None` before the first list, and from
    /// the loss of a watch to the next list.
    updated_at: Option<Micros>,
}

impl PollingHost {
    fn new(settings: Settings, seed: u64) -> PollingHost {
        PollingHost {
            scheduler: Scheduler::new(settings, seed, 0),
            pending: None,
            updated_at: None,
        }
    }

    /// Fires the timer, completes the pending poll if it is due, and ends the watch if
    /// `watch_lost`. Returns whether the host sends a poll.
    fn step(&mut self, now: Micros, watch_lost: bool) -> bool {
        let mut events = vec![Event::TimerFired];
        if let Some(poll) = self.pending.take_if(|poll| poll.completes_at <= now) {
            events.push(Event::EndpointList(poll.result, vec![]));
            if poll.result != EndpointListEvent::PollFailed {
                self.updated_at = Some(now);
            }
        }
        if watch_lost {
            events.push(Event::EndpointList(EndpointListEvent::WatchLost, vec![]));
            self.pending = None;
            self.updated_at = None;
        }
        let mut actions = Vec::new();
        self.scheduler.handle(now, &events, &mut actions);
        actions.contains(&Action::OpenWatch)
    }
}

/// Polls and updates of all hosts during a run.
struct PollingResult {
    /// Times at which polls were sent.
    sent_at: Vec<Micros>,
    /// Time at which each host last got the endpoint list.
    updated_at: Vec<Option<Micros>>,
}

impl PollingResult {
    /// Returns the time at which the last host got the endpoint list.
    fn last_update(&self) -> Micros {
        let updates = self
            .updated_at
            .iter()
            .map(|at| at.expect("every host should have got the endpoint list"));
        updates.max().unwrap_or_default()
    }
}

/// Simulates hosts that start together and poll a discovery service. All hosts lose their watch at
/// `watches_lost_at`, if it is given.
fn poll_from_all_hosts(
    host_count: u32,
    mut discovery: DiscoveryService,
    watches_lost_at: Option<Micros>,
    duration: Micros,
) -> PollingResult {
    let mut settings = default_settings();
    settings.host_count = host_count;
    settings.discovery_clients = host_count;
    let mut hosts = Vec::new();
    for seed in 1..=u64::from(host_count) {
        hosts.push(PollingHost::new(settings.clone(), seed));
    }
    let mut sent_at = vec![];
    for now in (0..duration).step_by(10 * MILLISECOND as usize) {
        for host in &mut hosts {
            if host.step(now, watches_lost_at == Some(now)) {
                assert!(
                    host.pending.is_none(),
                    "a host sends a poll while another one is pending"
                );
                sent_at.push(now);
                host.pending = Some(discovery.poll(now));
            }
        }
    }
    PollingResult {
        sent_at,
        updated_at: hosts.iter().map(|host| host.updated_at).collect(),
    }
}

#[test]
fn one_watch_is_opened_after_a_failed_poll_and_none_without_discovery_clients() {
    let mut without_discovery = SchedulerHarness::new(default_settings(), 1);
    assert!(!without_discovery
        .fire_timer_at(SECOND)
        .contains(&Action::OpenWatch));
    let mut settings = default_settings();
    settings.discovery_clients = 1;
    let mut harness = SchedulerHarness::new(settings, 1);
    let mut watches = 0;
    harness.handle(&[Event::EndpointList(EndpointListEvent::PollFailed, vec![])]);
    for elapsed_ms in 1..5_000 {
        let actions = harness.fire_timer_at(elapsed_ms * MILLISECOND);
        watches += actions
            .iter()
            .filter(|action| **action == Action::OpenWatch)
            .count();
        if watches == 1 {
            harness.handle(&[Event::EndpointList(EndpointListEvent::Delta, vec![])]);
        }
    }
    assert_eq!(watches, 1);
}

#[test]
fn hosts_started_at_the_same_time_spread_their_polls() {
    let fleet = poll_from_all_hosts(
        100,
        DiscoveryService::always_up(MILLISECOND),
        None,
        5 * SECOND,
    );
    for second in 0..3 {
        let span = second * SECOND..(second + 1) * SECOND;
        let polls = fleet.sent_at.iter().filter(|at| span.contains(*at)).count();
        assert!(
            (15..55).contains(&polls),
            "{polls} of 100 hosts sent polls within a second"
        );
    }
    // A single host polls at once, and four hosts poll within 150 ms.
    let single_host =
        poll_from_all_hosts(1, DiscoveryService::always_up(MILLISECOND), None, SECOND);
    assert_eq!(single_host.sent_at, [0]);
    let four_hosts = poll_from_all_hosts(4, DiscoveryService::always_up(MILLISECOND), None, SECOND);
    assert!(four_hosts.sent_at.iter().all(|at| *at <= 150 * MILLISECOND));
}

#[test]
fn all_hosts_get_the_endpoint_list_within_six_seconds() {
    // Six seconds, less a margin of 250 ms.
    let max_delay = 6 * SECOND - 250 * MILLISECOND;
    // After the start of the hosts. With the longest service time, handling one poll of each of the
    // 300 hosts takes 4.8 s.
    for service_time in [MILLISECOND, 10 * MILLISECOND, 16 * MILLISECOND] {
        let fleet = poll_from_all_hosts(
            300,
            DiscoveryService::always_up(service_time),
            None,
            8 * SECOND,
        );
        assert!(
            fleet.last_update() <= max_delay,
            "service time {service_time} us"
        );
    }
    // All watches are lost at once while the service is up.
    let lost_at = 10 * SECOND;
    let discovery = DiscoveryService::always_up(10 * MILLISECOND);
    let fleet = poll_from_all_hosts(300, discovery, Some(lost_at), 20 * SECOND);
    assert!(fleet.last_update() - lost_at <= max_delay);
    // All watches are lost because the service goes down. The delay is measured from the time at
    // which the service is up again.
    for down_ms in (1_000..9_000).step_by(890) {
        let up_again_at = lost_at + down_ms * MILLISECOND;
        let discovery = DiscoveryService {
            service_time: 8 * MILLISECOND,
            down: lost_at..up_again_at,
            busy_until: 0,
        };
        let fleet = poll_from_all_hosts(300, discovery, Some(lost_at), up_again_at + 8 * SECOND);
        assert!(
            fleet.last_update() - up_again_at <= max_delay,
            "service down for {down_ms} ms"
        );
    }
}

/// Guards against a retry storm: if all hosts repeated failed polls at a constant interval, they
/// could keep the discovery service overloaded forever, and every poll would time out.
#[test]
fn backoff_lets_an_overloaded_discovery_service_recover() {
    let discovery = DiscoveryService {
        service_time: 10 * MILLISECOND,
        down: 0..0,
        busy_until: 6 * SECOND,
    };
    assert!(poll_from_all_hosts(300, discovery, None, 40 * SECOND).last_update() <= 30 * SECOND);
}
