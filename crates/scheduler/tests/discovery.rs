//! Polling of the discovery service, by one host and by a whole fleet at once.

mod common;

use common::{settings, SchedulerHarness, MILLISECOND, SECOND};
use io_scheduler::{Action, EndpointListEvent, Event, Micros, Scheduler, Settings};
use std::ops::Range;

/// A poll fails if the service has not begun to serve it after this time.
const POLL_TIMEOUT: Micros = 2 * SECOND;

/// A discovery service that a whole fleet polls. It serves the polls one after another. A poll that
/// waits longer than its timeout fails, but takes as much of the service's time.
struct DiscoveryService {
    /// Time that one poll takes.
    service_time: Micros,
    /// While it is down, polls fail after their timeout.
    down: Range<Micros>,
    /// When it has served all polls so far.
    idle_from: Micros,
}

/// A poll that has been sent.
struct PendingPoll {
    completes_at: Micros,
    result: EndpointListEvent,
}

impl DiscoveryService {
    fn always_up(service_time: Micros) -> DiscoveryService {
        DiscoveryService {
            service_time,
            down: 0..0,
            idle_from: 0,
        }
    }

    fn poll(&mut self, now: Micros) -> PendingPoll {
        let timed_out = PendingPoll {
            completes_at: now + POLL_TIMEOUT,
            result: EndpointListEvent::PollFailed,
        };
        if self.down.contains(&now) {
            return timed_out;
        }
        let begins_at = now.max(self.idle_from);
        self.idle_from = begins_at + self.service_time;
        if begins_at - now > POLL_TIMEOUT {
            return timed_out;
        }
        PendingPoll {
            completes_at: begins_at + self.service_time,
            result: EndpointListEvent::Delta,
        }
    }
}

/// A host that polls the service.
struct PollingHost {
    scheduler: Scheduler,
    pending: Option<PendingPoll>,
    /// When it last got the endpoint list, unless it has lost its watch since.
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

    /// Handles what is due at this time; returns whether the host sends a poll.
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

/// What the hosts of a fleet did.
struct FleetPolls {
    /// When each poll was sent.
    sent_at: Vec<Micros>,
    /// When each host last got the endpoint list.
    updated_at: Vec<Option<Micros>>,
}

impl FleetPolls {
    /// When the last host got the endpoint list.
    fn last_update(&self) -> Micros {
        let updates = self
            .updated_at
            .iter()
            .map(|at| at.expect("every host has the endpoint list"));
        updates.max().unwrap_or_default()
    }
}

/// Runs a fleet against a discovery service; at `watches_lost_at`, if given, all hosts lose their
/// watch.
fn run_fleet(
    host_count: u32,
    mut discovery: DiscoveryService,
    watches_lost_at: Option<Micros>,
    duration: Micros,
) -> FleetPolls {
    let mut settings = settings();
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
                assert!(host.pending.is_none(), "one poll at a time");
                sent_at.push(now);
                host.pending = Some(discovery.poll(now));
            }
        }
    }
    FleetPolls {
        sent_at,
        updated_at: hosts.iter().map(|host| host.updated_at).collect(),
    }
}

#[test]
fn the_endpoint_list_is_watched_from_the_start_and_again_after_a_failed_poll() {
    let mut without_discovery = SchedulerHarness::new(settings(), 1);
    assert!(!without_discovery
        .fire_timer_at(SECOND)
        .contains(&Action::OpenWatch));
    let mut settings = settings();
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
fn hosts_that_start_together_spread_their_polls() {
    let fleet = run_fleet(
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
            "{polls} of 100 hosts poll within a second"
        );
    }
    // A host that is alone polls at once, and a few hosts poll soon.
    let alone = run_fleet(1, DiscoveryService::always_up(MILLISECOND), None, SECOND);
    assert_eq!(alone.sent_at, [0]);
    let four_hosts = run_fleet(4, DiscoveryService::always_up(MILLISECOND), None, SECOND);
    assert!(four_hosts.sent_at.iter().all(|at| *at <= 150 * MILLISECOND));
}

#[test]
fn a_whole_fleet_gets_the_endpoint_list_within_six_seconds() {
    let max_delay = 6 * SECOND - 250 * MILLISECOND;
    // After its start, also where discovery serves hardly more polls than the fleet needs.
    for service_time in [MILLISECOND, 10 * MILLISECOND, 16 * MILLISECOND] {
        let fleet = run_fleet(
            300,
            DiscoveryService::always_up(service_time),
            None,
            8 * SECOND,
        );
        assert!(
            fleet.last_update() <= max_delay,
            "service time {service_time}"
        );
    }
    // All watches are lost at once, and discovery is up.
    let lost_at = 10 * SECOND;
    let discovery = DiscoveryService::always_up(10 * MILLISECOND);
    let fleet = run_fleet(300, discovery, Some(lost_at), 20 * SECOND);
    assert!(fleet.last_update() - lost_at <= max_delay);
    // They are lost because discovery goes down, for a shorter or a longer time. The delay counts
    // from its return.
    for down_ms in (1_000..9_000).step_by(890) {
        let up_again_at = lost_at + down_ms * MILLISECOND;
        let discovery = DiscoveryService {
            service_time: 8 * MILLISECOND,
            down: lost_at..up_again_at,
            idle_from: 0,
        };
        let fleet = run_fleet(300, discovery, Some(lost_at), up_again_at + 8 * SECOND);
        assert!(
            fleet.last_update() - up_again_at <= max_delay,
            "down for {down_ms} ms"
        );
    }
}

/// If all hosts repeated failed polls at a constant interval, they could keep discovery overloaded
/// forever: every poll would time out.
#[test]
fn an_overloaded_discovery_service_serves_the_whole_fleet_in_the_end() {
    let discovery = DiscoveryService {
        service_time: 10 * MILLISECOND,
        down: 0..0,
        idle_from: 6 * SECOND,
    };
    assert!(run_fleet(300, discovery, None, 40 * SECOND).last_update() <= 30 * SECOND);
}
