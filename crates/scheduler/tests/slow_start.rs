//! Admission to nodes that warm up, by one host and by a whole fleet.

mod common;

use common::{
    delta, dispatched, dispatched_requests, endpoint, served, settings, snapshot, volume_plan,
    SchedulerHarness, MILLISECOND, SECOND,
};
use io_scheduler::{
    EndpointStatus, Event, Micros, PlanIndex, Request, RequestId, Settings, Units, UnitsPerSecond,
    VolumeId, VolumePlan,
};

const NODE_STARTED_AT: Micros = 100 * SECOND;
/// Duration of the slow start.
const SLOW_START: Micros = 10 * SECOND;
/// Fraction of its full capacity that the node has at its start.
const INITIAL_CAPACITY: f64 = 0.2;
/// What the node can serve when it has warmed up, in units a second.
const FULL_CAPACITY: f64 = 40.0;
const UNITS_PER_REQUEST: f64 = 2.0;
const VOLUMES: u64 = 12;
const HOSTS_PER_VOLUME: u64 = 3;

/// A fleet of hosts, and the load that their volumes put on one node that has just started.
#[derive(Clone, Copy)]
struct FleetLoad {
    hosts: u32,
    seed: u64,
    /// Fraction of the node's full capacity that the volumes together are provisioned for.
    provisioned_fraction: f64,
    /// What the volumes request, as a multiple of what they are provisioned for.
    demand_factor: f64,
    response_time: Micros,
}

impl FleetLoad {
    /// The rate that one volume is provisioned for.
    fn provisioned_rate(&self) -> f64 {
        FULL_CAPACITY * self.provisioned_fraction / VOLUMES as f64
    }

    /// Units a second that the volumes together request.
    fn demand(&self) -> f64 {
        FULL_CAPACITY * self.provisioned_fraction * self.demand_factor
    }

    /// Time between two requests of a volume.
    fn request_interval(&self) -> Micros {
        (UNITS_PER_REQUEST * 1e6 / (self.provisioned_rate() * self.demand_factor)) as Micros
    }

    fn settings(&self) -> Settings {
        let mut settings = settings();
        settings.host_count = self.hosts;
        settings.slow_start.duration = SLOW_START;
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

    /// Runs the fleet during the slow start of the node.
    fn run(self) -> WarmingNode {
        let settings = self.settings();
        let mut fleet = Fleet::new(self, &settings);
        let end = NODE_STARTED_AT + SLOW_START;
        for now in (NODE_STARTED_AT..end).step_by(MILLISECOND as usize) {
            fleet.send_requests(now);
            if now % (5 * MILLISECOND) == 0 {
                fleet.complete_attempts(now);
            }
        }
        WarmingNode {
            load: self,
            dispatched_at: fleet.dispatched_at,
            slow_start_units: settings.slow_start.initial_units_per_window.0,
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
    /// When attempts were dispatched.
    dispatched_at: Vec<Micros>,
}

impl Fleet {
    fn new(load: FleetLoad, settings: &Settings) -> Fleet {
        let mut hosts = Vec::new();
        for number in 0..u64::from(load.hosts) {
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

    /// Sends a request of each volume whose interval is over, through the volume's hosts in turn.
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

    /// Completes the attempts that are due and fires the timers of all hosts.
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

/// What a node got during its slow start.
struct WarmingNode {
    load: FleetLoad,
    /// When requests were dispatched to it, all of the same size.
    dispatched_at: Vec<Micros>,
    slow_start_units: f64,
}

impl WarmingNode {
    /// Fraction of its full capacity that the node has at this time.
    fn capacity(now: Micros) -> f64 {
        INITIAL_CAPACITY
            + (1.0 - INITIAL_CAPACITY) * (now - NODE_STARTED_AT) as f64 / SLOW_START as f64
    }

    /// By how many requests the fullest window exceeded what the node can take then, beyond what
    /// chance explains.
    fn max_excess(&self) -> f64 {
        let excess_until = |now: Micros| {
            let window = now - SECOND..=now;
            let received = self
                .dispatched_at
                .iter()
                .filter(|at| window.contains(*at))
                .count() as f64;
            let initial_requests = self.slow_start_units / UNITS_PER_REQUEST;
            let allowed = initial_requests * WarmingNode::capacity(now) / INITIAL_CAPACITY;
            received - (allowed + 2.0 * allowed.sqrt() + 2.0)
        };
        self.dispatched_at
            .iter()
            .map(|at| excess_until(*at))
            .fold(f64::MIN, f64::max)
    }

    /// The units received in a span after its start, as a fraction of what the node could serve or
    /// what was requested of it.
    fn utilization(&self, from: Micros, to: Micros) -> f64 {
        let mut possible_units = 0.0;
        for elapsed in (from..to).step_by(100 * MILLISECOND as usize) {
            let capacity = FULL_CAPACITY * WarmingNode::capacity(NODE_STARTED_AT + elapsed);
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
fn the_slow_start_of_a_node_holds_for_the_whole_fleet() {
    for (hosts, provisioned_fraction, demand_factor) in [
        (1, 1.0, 3.0),
        (4, 0.7, 3.0),
        (30, 1.0, 1.0),
        (30, 0.7, 3.0),
        (30, 1.0, 8.0),
        (300, 1.0, 3.0),
    ] {
        for (seed, response_time) in [(1, 5 * MILLISECOND), (2, 60 * MILLISECOND)] {
            let load = FleetLoad {
                hosts,
                seed,
                provisioned_fraction,
                demand_factor,
                response_time,
            };
            let excess = load.run().max_excess();
            assert!(
                excess <= 0.0,
                "{hosts} hosts, provisioned {provisioned_fraction}, demand {demand_factor}: \
                 {excess} too many"
            );
        }
    }
}

#[test]
fn a_warming_node_does_not_idle_beside_many_hosts() {
    for (hosts, demand_factor) in [(4, 1.0), (30, 1.0), (30, 3.0), (300, 1.0), (300, 3.0)] {
        let load = FleetLoad {
            hosts,
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
            "{hosts} hosts, demand {demand_factor}: {early} early, {late} later"
        );
    }
}

/// Sends 60 requests of a volume, one each millisecond; returns how many were dispatched.
fn dispatched_of_surge(harness: &mut SchedulerHarness, plan: usize, volume: u64) -> u32 {
    let mut count = 0;
    for _ in 0..60 {
        let request = Request {
            plan: PlanIndex(plan),
            volume: VolumeId(volume),
            ..harness.request(Some(0))
        };
        let id = request.id.0;
        let is_dispatched = !dispatched(&harness.receive(request)).is_empty();
        count += u32::from(is_dispatched);
        harness.now += MILLISECOND;
        let end = if is_dispatched {
            served(id, MILLISECOND)
        } else {
            Event::ResponseNotNeeded(RequestId(id))
        };
        harness.handle(&[end]);
    }
    count
}

#[test]
fn a_surging_volume_leaves_half_of_a_warming_node_s_units_to_the_others() {
    // A single host may send all of the 20 units in a window, except those that are divided by
    // provisioned rate. A volume that exceeds its provisioned rate gets half of the host's part;
    // the requests of another volume get the other half.
    let mut settings = settings();
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
    let surge = dispatched_of_surge(&mut harness, 0, 1);
    let reserved = dispatched_of_surge(&mut harness, 1, 2);
    assert!((1..=11).contains(&surge), "{surge} of a surge");
    assert!(
        (8..=21).contains(&reserved) && surge + reserved <= 21,
        "{reserved} reserved after {surge}"
    );
}

/// Sends requests of two and a half units, one each millisecond from `start` on, and serves those
/// that are dispatched; returns their number.
fn dispatched_of_large(harness: &mut SchedulerHarness, start: Micros, requests: Micros) -> usize {
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
fn a_host_sends_a_warming_node_its_part_of_the_units_in_any_window() {
    // Of 20 units an even part for each of four hosts is 5; by the provisioned rate of its volume
    // this host's part is 3. It gets the mean of both: four units, in requests of two and a half.
    const REQUESTS_PER_WINDOW: Micros = 6;
    let mut settings = settings();
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
        let in_first = dispatched_of_large(&mut harness, first_window, REQUESTS_PER_WINDOW);
        let second_window =
            NODE_STARTED_AT + REQUESTS_PER_WINDOW * MILLISECOND + SECOND + 20 * MILLISECOND;
        let in_second = dispatched_of_large(&mut harness, second_window, REQUESTS_PER_WINDOW);
        in_first_window += in_first;
        in_second_window += in_second;
        let in_both_windows = in_first + in_second;
        assert!(
            (2..=4).contains(&in_both_windows),
            "{in_both_windows} in two windows"
        );
    }
    assert!(
        (150..=170).contains(&in_first_window),
        "{in_first_window} requests of 100 hosts in one window"
    );
    assert!(
        (150..=170).contains(&in_second_window),
        "{in_second_window} in the next"
    );
}
