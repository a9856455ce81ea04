//! Fixtures of the scheduler's tests: default settings, a harness that passes events to a scheduler
//! on a simulated clock, and functions that extract results from the returned actions.
#![allow(dead_code)] // No test program uses all items.

use io_scheduler::{
    Action, ClassIndex, CompletedAttempt, Endpoint, EndpointListEvent, EndpointStatus, Event,
    Idempotency, Micros, NodeId, Outcome, PlanIndex, Request, RequestClass, RequestId, Scheduler,
    Settings, Shard, SlowStart, TableSizes, Units, UnitsPerSecond, VolumeId, VolumePlan, Zone,
};

pub const MILLISECOND: Micros = 1_000;
pub const SECOND: Micros = 1_000_000;

/// Returns an unordered class with a latency objective of 500 ms.
pub fn request_class(idempotency: Idempotency) -> RequestClass {
    RequestClass {
        latency_objective: 500 * MILLISECOND,
        priority_weight: 1.0,
        idempotency,
        ordered: false,
    }
}

/// Returns a plan whose token bucket holds the units of one second at the limit, and whose
/// provisioned rate is the reservation, but at least one unit per second.
pub fn volume_plan(reservation: f64, weight: f64, limit: f64) -> VolumePlan {
    VolumePlan {
        reservation: UnitsPerSecond(reservation),
        weight,
        limit: UnitsPerSecond(limit),
        burst_capacity: Units(limit),
        provisioned_rate: UnitsPerSecond(reservation.max(1.0)),
    }
}

/// Returns settings with one host, one idempotent class, and one plan without a reservation or a
/// limit.
pub fn default_settings() -> Settings {
    Settings {
        classes: vec![request_class(Idempotency::Idempotent)],
        plans: vec![volume_plan(0.0, 1.0, 0.0)],
        host_count: 1,
        longest_client_timeout: 10_000_000,
        max_attempts: 3,
        cancellation_allowed: true,
        discovery_clients: 0,
        max_poll_interval: 10 * SECOND,
        slow_start: SlowStart {
            initial_capacity: 0.2,
            duration: 10 * SECOND,
            window: SECOND,
            burst_factor: 3.0,
            initial_units_per_window: Units(20.0),
        },
        quiesce_period: 0,
        retry_budget: None,
        mean_units: Units(2.0),
        max_units: Units(6.0),
        usage_report_period: 0,
        reports_remote_units: false,
        provisioned_value: 0.35,
        surplus_value: 0.1,
    }
}

/// Returns the endpoint list entry of a node that holds the shard with the node's own id.
pub fn endpoint(node: u64, status: EndpointStatus, started_at: Option<Micros>) -> Endpoint {
    Endpoint {
        node: NodeId(node),
        zone: Zone(node % 2),
        shard: Shard(node),
        status,
        started_at,
    }
}

/// Returns the event for a complete endpoint list.
pub fn snapshot(endpoints: Vec<Endpoint>) -> Event {
    Event::EndpointList(EndpointListEvent::Snapshot, endpoints)
}

/// Returns the event for changed entries of the endpoint list.
pub fn delta(endpoints: Vec<Endpoint>) -> Event {
    Event::EndpointList(EndpointListEvent::Delta, endpoints)
}

/// Returns the event for the end of an attempt, which closes the request if it was served.
pub fn attempt_completed(
    request: u64,
    number: u32,
    node: u64,
    outcome: Outcome,
    elapsed: Micros,
) -> Event {
    Event::AttemptCompleted(CompletedAttempt {
        request: RequestId(request),
        number,
        node: NodeId(node),
        outcome,
        response_not_needed: outcome == Outcome::Served,
        elapsed,
        remote_units: Units(0.0),
        utilization: None,
    })
}

/// Returns the event that node 0 served the first attempt of a request.
pub fn served(request: u64, elapsed: Micros) -> Event {
    attempt_completed(request, 0, 0, Outcome::Served, elapsed)
}

/// A scheduler with a simulated clock that only the test advances.
pub struct SchedulerHarness {
    scheduler: Scheduler,
    /// Current time, at which the next events are handled.
    pub now: Micros,
    next_request: u64,
}

impl SchedulerHarness {
    /// Creates a scheduler whose endpoint list has `nodes` nodes with ids from 0, none of them
    /// warming up.
    pub fn new(settings: Settings, nodes: u64) -> Self {
        SchedulerHarness::with_seed(settings, nodes, 1)
    }

    /// Like [`SchedulerHarness::new`], with a given seed for the scheduler.
    pub fn with_seed(settings: Settings, nodes: u64, seed: u64) -> Self {
        let scheduler = Scheduler::new(settings, seed, 0);
        let mut harness = SchedulerHarness {
            scheduler,
            now: 0,
            next_request: 0,
        };
        let mut endpoints = Vec::new();
        for node in 0..nodes {
            endpoints.push(endpoint(node, EndpointStatus::InService, None));
        }
        harness.handle(&[snapshot(endpoints)]);
        harness
    }

    /// Passes events at the current time to the scheduler and returns its actions.
    pub fn handle(&mut self, events: &[Event]) -> Vec<Action> {
        let mut actions = Vec::new();
        self.scheduler.handle(self.now, events, &mut actions);
        actions
    }

    /// Returns the sizes of the tables whose keys clients choose.
    pub fn table_sizes(&self) -> TableSizes {
        self.scheduler.table_sizes()
    }

    /// Sets the clock, then passes events to the scheduler.
    pub fn handle_at(&mut self, now: Micros, events: &[Event]) -> Vec<Action> {
        self.now = now;
        self.handle(events)
    }

    /// Sets the clock, then fires the timer.
    pub fn fire_timer_at(&mut self, now: Micros) -> Vec<Action> {
        self.handle_at(now, &[Event::TimerFired])
    }

    /// Passes one request at the current time to the scheduler.
    pub fn receive(&mut self, request: Request) -> Vec<Action> {
        self.handle(&[Event::RequestReceived(request)])
    }

    /// Creates a request with the next id for a shard, or for a new object if `shard` is `None`. It
    /// has volume 0, plan 0, class 0, one unit, and a deadline in two seconds.
    pub fn request(&mut self, shard: Option<u64>) -> Request {
        let id = RequestId(self.next_request);
        self.next_request += 1;
        Request {
            id,
            volume: VolumeId(0),
            plan: PlanIndex(0),
            class: ClassIndex(0),
            key: None,
            shard: shard.map(Shard),
            units: Units(1.0),
            host_count: 1.0,
            deadline: self.now + 2 * SECOND,
        }
    }

    /// Creates a request of a volume for the shard of node 0.
    pub fn request_of_volume(&mut self, volume: u64, plan: usize, deadline: Micros) -> Request {
        Request {
            volume: VolumeId(volume),
            plan: PlanIndex(plan),
            deadline,
            ..self.request(Some(0))
        }
    }

    /// Sends a request to a node and completes it as served without advancing the clock; the
    /// reported latency is `elapsed`. Returns the request's id.
    pub fn serve_request(&mut self, node: u64, elapsed: Micros) -> u64 {
        let request = self.request(Some(node));
        let id = request.id.0;
        self.receive(request);
        self.handle(&[attempt_completed(id, 0, node, Outcome::Served, elapsed)]);
        id
    }

    /// Sends a request to a node and ends the attempt with this outcome and a reported latency of
    /// one millisecond. The client disconnects at the same time, so that there is no retry.
    pub fn fail_without_retry(&mut self, node: u64, outcome: Outcome) {
        let request = self.request(Some(node));
        let id = request.id.0;
        self.receive(request);
        self.handle(&[
            attempt_completed(id, 0, node, outcome, MILLISECOND),
            Event::ResponseNotNeeded(RequestId(id)),
        ]);
    }

    /// Raises the concurrency limit of a node to its maximum with 40 fast responses. The ids and
    /// the volume of these requests differ from those of the test's own requests.
    pub fn raise_concurrency_limit(&mut self, node: u64) {
        const FIRST_ID: u64 = 1_000_000;
        const VOLUME: u64 = 1_000_000;
        for id in FIRST_ID..FIRST_ID + 40 {
            let request = self.request(Some(node));
            self.next_request -= 1;
            self.receive(Request {
                id: RequestId(id),
                volume: VolumeId(VOLUME),
                ..request
            });
            self.handle(&[attempt_completed(id, 0, node, Outcome::Served, 0)]);
        }
    }

    /// Sends requests of volume 99 to node 0. If they reach the node's concurrency limit, later
    /// requests have to wait. Returns the ids of the requests that were dispatched.
    pub fn occupy_node_0(&mut self, requests: u64) -> Vec<u64> {
        const VOLUME: u64 = 99;
        let mut events = vec![];
        for _ in 0..requests {
            let deadline = self.now + 60 * SECOND;
            events.push(Event::RequestReceived(
                self.request_of_volume(VOLUME, 0, deadline),
            ));
        }
        dispatched_requests(&self.handle(&events))
    }
}

/// An attempt that the scheduler dispatched.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DispatchedAttempt {
    /// Id of the request.
    pub request: u64,
    /// Id of the node that it was dispatched to.
    pub node: u64,
}

/// Returns an attempt of a request at a node, for comparisons.
pub fn attempt(request: u64, node: u64) -> DispatchedAttempt {
    DispatchedAttempt { request, node }
}

/// Returns the dispatched attempts, in order.
pub fn dispatched_attempts(actions: &[Action]) -> Vec<DispatchedAttempt> {
    let mut attempts = Vec::new();
    for action in actions {
        if let Action::Dispatch { request, node, .. } = action {
            attempts.push(attempt(request.0, node.0));
        }
    }
    attempts
}

/// Returns the request ids of the dispatched attempts, in order.
pub fn dispatched_requests(actions: &[Action]) -> Vec<u64> {
    let attempts = dispatched_attempts(actions).into_iter();
    attempts.map(|attempt| attempt.request).collect()
}

/// Returns the ids of the rejected requests, in order.
pub fn rejected_requests(actions: &[Action]) -> Vec<u64> {
    let mut requests = Vec::new();
    for action in actions {
        if let Action::Reject { request, .. } = action {
            requests.push(request.0);
        }
    }
    requests
}

/// Returns the ids of the failed requests, in order.
pub fn failed_requests(actions: &[Action]) -> Vec<u64> {
    let mut requests = Vec::new();
    for action in actions {
        if let Action::Fail(request) = action {
            requests.push(request.0);
        }
    }
    requests
}
