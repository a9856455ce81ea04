//! Fixtures of the scheduler's tests: settings to change, a harness that feeds events on a clock of
//! its own, and views of the actions.
#![allow(dead_code)] // Each test program uses some of them.

use io_scheduler::{
    Action, ClassIndex, CompletedAttempt, Endpoint, EndpointListEvent, EndpointStatus, Event,
    Idempotency, Micros, NodeId, Outcome, PlanIndex, Request, RequestClass, RequestId, Scheduler,
    Settings, Shard, SlowStart, Units, UnitsPerSecond, VolumeId, VolumePlan, Zone,
};

pub const MILLISECOND: Micros = 1_000;
pub const SECOND: Micros = 1_000_000;

/// A class with a latency objective of 500 ms.
pub fn request_class(idempotency: Idempotency) -> RequestClass {
    RequestClass {
        latency_objective: 500 * MILLISECOND,
        priority_weight: 1.0,
        idempotency,
        ordered: false,
    }
}

/// A plan whose token bucket holds one second of the limit.
pub fn volume_plan(reservation: f64, weight: f64, limit: f64) -> VolumePlan {
    VolumePlan {
        reservation: UnitsPerSecond(reservation),
        weight,
        limit: UnitsPerSecond(limit),
        burst_capacity: Units(limit),
        provisioned_rate: UnitsPerSecond(reservation.max(1.0)),
    }
}

/// One host, one idempotent class, and one plan without a reservation or a limit.
pub fn settings() -> Settings {
    Settings {
        classes: vec![request_class(Idempotency::Idempotent)],
        plans: vec![volume_plan(0.0, 1.0, 0.0)],
        host_count: 1,
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

/// A node that stores the shard of its own number.
pub fn endpoint(node: u64, status: EndpointStatus, started_at: Option<Micros>) -> Endpoint {
    Endpoint {
        node: NodeId(node),
        zone: Zone(node % 2),
        shard: Shard(node),
        status,
        started_at,
    }
}

/// A complete endpoint list.
pub fn snapshot(endpoints: Vec<Endpoint>) -> Event {
    Event::EndpointList(EndpointListEvent::Snapshot, endpoints)
}

/// Changes of an endpoint list.
pub fn delta(endpoints: Vec<Endpoint>) -> Event {
    Event::EndpointList(EndpointListEvent::Delta, endpoints)
}

/// The end of an attempt; a request that was served is closed with it.
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
        request_closed: outcome == Outcome::Served,
        elapsed,
        remote_units: Units(0.0),
        utilization: None,
    })
}

/// The first attempt of a request at node 0 was served.
pub fn served(request: u64, elapsed: Micros) -> Event {
    attempt_completed(request, 0, 0, Outcome::Served, elapsed)
}

/// A scheduler on a clock that the test moves.
pub struct SchedulerHarness {
    scheduler: Scheduler,
    /// Time of the next events.
    pub now: Micros,
    next_request: u64,
}

impl SchedulerHarness {
    /// A scheduler that knows this many nodes, numbered from 0; none of them is warming up.
    pub fn new(settings: Settings, nodes: u64) -> Self {
        SchedulerHarness::with_seed(settings, nodes, 1)
    }

    /// As [`SchedulerHarness::new`], with another sequence of random numbers.
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

    /// Hands the scheduler events at the current time and returns its actions.
    pub fn handle(&mut self, events: &[Event]) -> Vec<Action> {
        let mut actions = Vec::new();
        self.scheduler.handle(self.now, events, &mut actions);
        actions
    }

    /// Moves the clock, then hands the scheduler events.
    pub fn handle_at(&mut self, now: Micros, events: &[Event]) -> Vec<Action> {
        self.now = now;
        self.handle(events)
    }

    /// Moves the clock, then fires the timer.
    pub fn fire_timer_at(&mut self, now: Micros) -> Vec<Action> {
        self.handle_at(now, &[Event::TimerFired])
    }

    /// Hands the scheduler one request at the current time.
    pub fn receive(&mut self, request: Request) -> Vec<Action> {
        self.handle(&[Event::RequestReceived(request)])
    }

    /// A request with the next id for a shard, or for a new object: volume 0, plan 0, class 0, one
    /// unit, a deadline in two seconds.
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

    /// A request for the shard of node 0 from a volume, with a deadline at this time.
    pub fn request_of_volume(&mut self, volume: u64, plan: usize, deadline: Micros) -> Request {
        Request {
            volume: VolumeId(volume),
            plan: PlanIndex(plan),
            deadline,
            ..self.request(Some(0))
        }
    }

    /// Has a node serve a request at once, with a response that is said to have taken this long.
    /// Returns the request's id.
    pub fn serve(&mut self, node: u64, elapsed: Micros) -> u64 {
        let request = self.request(Some(node));
        let id = request.id.0;
        self.receive(request);
        self.handle(&[attempt_completed(id, 0, node, Outcome::Served, elapsed)]);
        id
    }

    /// Has an attempt at a node end badly after a millisecond; its client disconnects before a
    /// retry.
    pub fn fail_without_retry(&mut self, node: u64, outcome: Outcome) {
        let request = self.request(Some(node));
        let id = request.id.0;
        self.receive(request);
        self.handle(&[
            attempt_completed(id, 0, node, outcome, MILLISECOND),
            Event::ResponseNotNeeded(RequestId(id)),
        ]);
    }

    /// Has a node serve requests quickly until its concurrency limit is at its maximum. They take
    /// no ids from the test's own requests.
    pub fn warm_up(&mut self, node: u64) {
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

    /// Fills node 0 with requests of a volume of their own, so that what follows waits; returns the
    /// ids of those that were dispatched.
    pub fn occupy_node(&mut self, requests: u64) -> Vec<u64> {
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
    /// Id of the node it went to.
    pub node: u64,
}

/// An attempt of a request at a node.
pub fn attempt(request: u64, node: u64) -> DispatchedAttempt {
    DispatchedAttempt { request, node }
}

/// The dispatched attempts, in order.
pub fn dispatched(actions: &[Action]) -> Vec<DispatchedAttempt> {
    let mut attempts = Vec::new();
    for action in actions {
        if let Action::Dispatch { request, node, .. } = action {
            attempts.push(attempt(request.0, node.0));
        }
    }
    attempts
}

/// The requests of the dispatched attempts, in order.
pub fn dispatched_requests(actions: &[Action]) -> Vec<u64> {
    let attempts = dispatched(actions).into_iter();
    attempts.map(|attempt| attempt.request).collect()
}

/// The rejected requests, in order.
pub fn rejected(actions: &[Action]) -> Vec<u64> {
    let mut requests = Vec::new();
    for action in actions {
        if let Action::Reject { request, .. } = action {
            requests.push(request.0);
        }
    }
    requests
}

/// The failed requests, in order.
pub fn failed(actions: &[Action]) -> Vec<u64> {
    let mut requests = Vec::new();
    for action in actions {
        if let Action::Fail(request) = action {
            requests.push(request.0);
        }
    }
    requests
}
