//! Slow start: dispatches to nodes that are warming up, by a single host and by a fleet of hosts.

mod common;

use common::{
    default_settings, delta, dispatched_attempts, dispatched_requests, endpoint, served, snapshot,
    volume_plan, SchedulerHarness, MILLISECOND, SECOND,
};
use io_scheduler::{
    EndpointStatus, Event, Micros, PlanIndex, Request, RequestId, Settings, Units, UnitsPerSecond,
    VolumeId, VolumePlan,
};

const NODE_STARTED_AT: Micros = 100 * SECOND;
/// Time from the start of the node until it has its full capacity.
const SLOW_START_DURATION: Micros = 10 * SECOND;
/// Capacity of the node at its start, as a fraction of its full capacity.
const INITIAL_CAPACITY: f64 = 0.2;
/// Full capacity of the node, in units per second.
const FULL_CAPACITY: f64 = 40.0;
const UNITS_PER_REQUEST: f64 = 2.0;
const VOLUMES: u64 = 12;
const HOSTS_PER_VOLUME: u64 = 3;

/// Number of hosts in a fleet, and the load of their volumes on one node that has just started.
#[derive(Clone, Copy)]
struct FleetLoad {
    host_count: u32,
    seed: u64,
    /// Provisioned rate of all volumes together, as a fraction of the node's full capacity.
    provisioned_fraction: f64,
    /// Rate that the volumes request, as a multiple of their provisioned rate.
    demand_factor: f64,
    response_time: Micros,
}

impl FleetLoad {
    /// Returns the provisioned rate of one volume, in units per second.
    fn provisioned_rate(&self) -> f64 {
        FULL_CAPACITY * self.provisioned_fraction / VOLUMES as f64
    }

    /// Returns the rate that all volumes together request, in units per second.
    fn demand(&self) -> f64 {
        FULL_CAPACITY * self.provisioned_fraction * self.demand_factor
    }

    /// Returns the time between two requests of a volume.
    fn request_interval(&self) -> Micros {
        (UNITS_PER_REQUEST * 1e6 / (self.provisioned_rate() * self.demand_factor)) as Micros
    }

    fn settings(&self) -> Settings {
        let mut settings = default_settings();
        settings.host_count = self.host_count;
        settings.slow_start.duration = SLOW_START_DURATION;
        settings.slow_start.initial_capacity = INITIAL_CAPACITY;
        settings.slow_start.burst_factor = 3.0;
        settings.slow_start.initial_units_per_window =
            Units(FULL_CAPACITY * INITIAL_CAPACITY * settings.slow_start.burst_factor);
        let provisioned_rate = self.provisioned_rate();
        settings.plans = vec![VolumePlan {
            provisioned_rate: UnitsPerSecond(provisioned_rate),
            ..volume_plan(provisioned_rate * 0.6, 1.0, 0.0)
        }];
        settings
    }

    /// Simulates the fleet during the slow start of the node.
    fn run(self) -> SlowStartRun {
        let settings = self.settings();
        let mut fleet = Fleet::new(self, &settings);
        let end = NODE_STARTED_AT + SLOW_START_DURATION;
        for now in (NODE_STARTED_AT..end).step_by(MILLISECOND as usize) {
            fleet.send_requests(now);
            if now % (5 * MILLISECOND) == 0 {
                fleet.complete_attempts(now);
            }
        }
        SlowStartRun {
            load: self,
            dispatched_at: fleet.dispatched_at,
            initial_units_per_window: settings.slow_start.initial_units_per_window.0,
        }
    }
}

struct InFlightAttempt {
    completes_at: Micros,
    host: usize,
    request: u64,
}

struct Fleet {
    load: FleetLoad,
    hosts: Vec<SchedulerHarness>,
    in_flight: Vec<InFlightAttempt>,
    /// Times at which attempts were dispatched, by any host.
    dispatched_at: Vec<Micros>,
}

impl Fleet {
    fn new(load: FleetLoad, settings: &Settings) -> Fleet {
        let mut hosts = Vec::new();
        for number in 0..u64::from(load.host_count) {
            let mut host =
                SchedulerHarness::with_seed(settings.clone(), 0, load.seed * 1_000 + number);
            host.now = NODE_STARTED_AT;
            host.handle(&[snapshot(vec![endpoint(
                0,
                EndpointStatus::InService,
                Some(NODE_STARTED_AT),
            )])]);
            hosts.push(host);
        }
        Fleet {
            load,
            hosts,
            in_flight: Vec::new(),
            dispatched_at: Vec::new(),
        }
    }

    /// Sends the requests that are due. Each volume sends one request per interval, to its hosts in
    /// turn.
    fn send_requests(&mut self, now: Micros) {
        let interval = self.load.request_interval();
        for volume in 0..VOLUMES {
            let offset = volume as Micros * interval / VOLUMES as Micros;
            let elapsed = now - NODE_STARTED_AT + offset;
            let number = elapsed / interval;
            if number == (elapsed - MILLISECOND) / interval {
                continue;
            }
            let host = (volume * 5 + number as u64 % HOSTS_PER_VOLUME) as usize % self.hosts.len();
            let request = self.request(host, volume, now);
            let actions = self.hosts[host].handle_at(now, &[Event::RequestReceived(request)]);
            self.record_dispatches(now, host, &dispatched_requests(&actions));
        }
    }

    fn request(&mut self, host: usize, volume: u64, now: Micros) -> Request {
        let request = self.hosts[host].request(Some(0));
        Request {
            id: RequestId(request.id.0 * VOLUMES + volume),
            volume: VolumeId(volume),
            host_count: HOSTS_PER_VOLUME as f64,
            units: Units(UNITS_PER_REQUEST),
            deadline: now + 2 * SECOND,
            ..request
        }
    }

    /// Completes the attempts that are due and fires the timer of every host.
    fn complete_attempts(&mut self, now: Micros) {
        for host in 0..self.hosts.len() {
            let is_due =
                |attempt: &InFlightAttempt| attempt.completes_at <= now && attempt.host == host;
            let mut events = Vec::new();
            for attempt in self.in_flight.iter().filter(|attempt| is_due(attempt)) {
                events.push(served(attempt.request, self.load.response_time));
            }
            self.in_flight.retain(|attempt| !is_due(attempt));
            events.push(Event::TimerFired);
            let actions = self.hosts[host].handle_at(now, &events);
            self.record_dispatches(now, host, &dispatched_requests(&actions));
        }
    }

    fn record_dispatches(&mut self, now: Micros, host: usize, requests: &[u64]) {
        let completes_at = now + self.load.response_time;
        for request in requests {
            self.in_flight.push(InFlightAttempt {
                completes_at,
                host,
                request: *request,
            });
            self.dispatched_at.push(now);
        }
    }
}

/// Dispatches to a node during its slow start.
struct SlowStartRun {
    load: FleetLoad,
    /// Times at which requests were dispatched to it, all of the same size.
    dispatched_at: Vec<Micros>,
    initial_units_per_window: f64,
}

impl SlowStartRun {
    /// Returns the capacity of the node at this time, as a fraction of its full capacity.
    fn capacity(now: Micros) -> f64 {
        INITIAL_CAPACITY
            + (1.0 - INITIAL_CAPACITY) * (now - NODE_STARTED_AT) as f64 / SLOW_START_DURATION as f64
    }

    /// Returns the largest number of requests above the allowed number in any window of one second.
    /// Allowed are the `n` requests that the node can serve in the window, and `2 * sqrt(n) + 2`
    /// more, because the quotas of the hosts vary at random.
    fn max_excess_requests(&self) -> f64 {
        let excess_until = |now: Micros| {
            let window = now - SECOND..=now;
            let received = self
                .dispatched_at
                .iter()
                .filter(|at| window.contains(*at))
                .count() as f64;
            let initial_requests = self.initial_units_per_window / UNITS_PER_REQUEST;
            let allowed = initial_requests * SlowStartRun::capacity(now) / INITIAL_CAPACITY;
            received - (allowed + 2.0 * allowed.sqrt() + 2.0)
        };
        self.dispatched_at
            .iter()
            .map(|at| excess_until(*at))
            .fold(f64::MIN, f64::max)
    }

    /// Returns the units received in a time span after the start of the node, as a fraction of what
    /// the node could serve or of what was requested, whichever is less.
    fn utilization(&self, from: Micros, to: Micros) -> f64 {
        let mut possible_units = 0.0;
        for elapsed in (from..to).step_by(100 * MILLISECOND as usize) {
            let capacity = FULL_CAPACITY * SlowStartRun::capacity(NODE_STARTED_AT + elapsed);
            possible_units += capacity.min(self.load.demand()) / 10.0;
        }
        let span = NODE_STARTED_AT + from..NODE_STARTED_AT + to;
        let received = self
            .dispatched_at
            .iter()
            .filter(|at| span.contains(*at))
            .count();
        UNITS_PER_REQUEST * received as f64 / possible_units
    }
}

#[test]
fn fleet_does_not_exceed_the_capacity_of_a_node_during_slow_start() {
    for (host_count, provisioned_fraction, demand_factor) in [
        (1, 1.0, 3.0),
        (4, 0.7, 3.0),
        (30, 1.0, 1.0),
        (30, 0.7, 3.0),
        (30, 1.0, 8.0),
        (300, 1.0, 3.0),
    ] {
        for (seed, response_time) in [(1, 5 * MILLISECOND), (2, 60 * MILLISECOND)] {
            let load = FleetLoad {
                host_count,
                seed,
                provisioned_fraction,
                demand_factor,
                response_time,
            };
            let excess = load.run().max_excess_requests();
            assert!(
                excess <= 0.0,
                "{host_count} hosts, provisioned {provisioned_fraction}, demand {demand_factor}: \
                 {excess} requests too many"
            );
        }
    }
}

#[test]
fn fleet_uses_the_capacity_of_a_node_during_slow_start() {
    for (host_count, demand_factor) in [(4, 1.0), (30, 1.0), (30, 3.0), (300, 1.0), (300, 3.0)] {
        let load = FleetLoad {
            host_count,
            seed: 1,
            provisioned_fraction: 0.7,
            demand_factor,
            response_time: 20 * MILLISECOND,
        };
        let node = load.run();
        let early = node.utilization(0, 4 * SECOND);
        let late = node.utilization(4 * SECOND, 10 * SECOND);
        assert!(
            early >= 0.9 && late >= 0.9,
            "{host_count} hosts, demand {demand_factor}: utilization {early}, then {late}"
        );
    }
}

/// Sends 60 requests of a volume, one per millisecond, and returns how many were dispatched.
fn count_dispatched_of_60_requests(
    harness: &mut SchedulerHarness,
    plan: usize,
    volume: u64,
) -> u32 {
    let mut count = 0;
    for _ in 0..60 {
        let request = Request {
            plan: PlanIndex(plan),
            volume: VolumeId(volume),
            ..harness.request(Some(0))
        };
        let id = request.id.0;
        let is_dispatched = !dispatched_attempts(&harness.receive(request)).is_empty();
        count += u32::from(is_dispatched);
        harness.now += MILLISECOND;
        let completion = if is_dispatched {
            served(id, MILLISECOND)
        } else {
            Event::ResponseNotNeeded(RequestId(id))
        };
        harness.handle(&[completion]);
    }
    count
}

#[test]
fn surplus_requests_use_at_most_half_of_the_slow_start_quota() {
    // A single host's quota is all 20 units of a window, and each request has one unit. A volume
    // that exceeds its provisioned rate may use half of the quota; the reserved requests of another
    // volume get the rest. The upper bounds allow one additional request.
    let mut settings = default_settings();
    settings.plans = vec![
        VolumePlan {
            provisioned_rate: UnitsPerSecond(1.0),
            ..volume_plan(0.0, 1.0, 0.0)
        },
        VolumePlan {
            provisioned_rate: UnitsPerSecond(100.0),
            ..volume_plan(100.0, 1.0, 0.0)
        },
    ];
    let mut harness = SchedulerHarness::with_seed(settings, 0, 1);
    harness.now = NODE_STARTED_AT;
    harness.handle(&[snapshot(vec![endpoint(
        0,
        EndpointStatus::InService,
        Some(NODE_STARTED_AT),
    )])]);
    let surplus_count = count_dispatched_of_60_requests(&mut harness, 0, 1);
    let reserved_count = count_dispatched_of_60_requests(&mut harness, 1, 2);
    assert!(
        (1..=11).contains(&surplus_count),
        "{surplus_count} surplus requests were dispatched"
    );
    assert!(
        (8..=21).contains(&reserved_count) && surplus_count + reserved_count <= 21,
        "{reserved_count} reserved requests after {surplus_count} surplus requests"
    );
}

/// Sends requests of 2.5 units, one per millisecond from `start`, and serves those that are
/// dispatched. Returns their number.
fn count_dispatched_large_requests(
    harness: &mut SchedulerHarness,
    start: Micros,
    requests: Micros,
) -> usize {
    let mut dispatched = 0;
    for number in 0..requests {
        let request = Request {
            units: Units(2.5),
            ..harness.request(Some(0))
        };
        let now = start + number * MILLISECOND;
        let actions = harness.handle_at(now, &[Event::RequestReceived(request)]);
        for id in dispatched_requests(&actions) {
            dispatched += 1;
            harness.handle(&[served(id, MILLISECOND)]);
        }
    }
    dispatched
}

#[test]
fn host_keeps_to_its_slow_start_quota_on_average() {
    // The 20 units of a window, split evenly among four hosts, are 5 per host. By the provisioned
    // rate of its volume, this host's part is 3 units. Its quota is the mean of both, 4 units, so
    // that it dispatches 1.6 requests of 2.5 units per window on average. A single window may have
    // two of them, which are 5 units.
    const REQUESTS_PER_WINDOW: Micros = 6;
    let mut settings = default_settings();
    settings.host_count = 4;
    settings.plans[0].provisioned_rate = UnitsPerSecond(4.0);
    let mut in_first_window = 0;
    let mut in_second_window = 0;
    for seed in 0..100 {
        let mut harness = SchedulerHarness::with_seed(settings.clone(), 1, seed);
        harness.now = NODE_STARTED_AT;
        harness.handle(&[delta(vec![endpoint(
            0,
            EndpointStatus::InService,
            Some(NODE_STARTED_AT),
        )])]);
        let first_window = NODE_STARTED_AT;
        let in_first =
            count_dispatched_large_requests(&mut harness, first_window, REQUESTS_PER_WINDOW);
        let second_window =
            NODE_STARTED_AT + REQUESTS_PER_WINDOW * MILLISECOND + SECOND + 20 * MILLISECOND;
        let in_second =
            count_dispatched_large_requests(&mut harness, second_window, REQUESTS_PER_WINDOW);
        in_first_window += in_first;
        in_second_window += in_second;
        let in_both_windows = in_first + in_second;
        assert!(
            (2..=4).contains(&in_both_windows),
            "{in_both_windows} requests in two windows"
        );
    }
    assert!(
        (150..=170).contains(&in_first_window),
        "{in_first_window} requests of 100 hosts in one window"
    );
    assert!(
        (150..=170).contains(&in_second_window),
        "{in_second_window} requests of 100 hosts in the next window"
    );
}
