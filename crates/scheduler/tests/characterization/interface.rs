//! The one file of this test that names items of the crate: it builds the scheduler's settings and
//! events from the driver's plain types, and turns actions into the driver's decisions.

use crate::plain::{Arrival, Class, Completion, Decision, Deployment, Ending, Input, Line};
use crate::plain::{ListKind, Plan, Repeat, Scope, Sizes, Status, Time};
use io_scheduler::{Action, CompletedAttempt, Event, Outcome, Request, Scheduler};
use io_scheduler::{ClassIndex, PlanIndex, Units, UnitsPerSecond};
use io_scheduler::{
    DeduplicationScope, Idempotency, RequestClass, RetryBudget, Settings, SlowStart,
};
use io_scheduler::{Endpoint, EndpointListEvent, EndpointStatus, VolumePlan};
use io_scheduler::{NodeId, ObjectKey, RequestId, Shard, VolumeId, Zone};

/// The scheduler under test.
pub struct Subject {
    scheduler: Scheduler,
}

impl Subject {
    /// A scheduler that starts at `now`.
    pub fn new(deployment: &Deployment, seed: u64, now: Time) -> Self {
        Subject {
            scheduler: Scheduler::new(settings(deployment), seed, now),
        }
    }

    /// Hands over what happened at `now` and returns the decisions in order.
    pub fn handle(&mut self, now: Time, inputs: &[Input]) -> Vec<Decision> {
        let events: Vec<Event> = inputs.iter().map(event).collect();
        let mut actions = Vec::new();
        self.scheduler.handle(now, &events, &mut actions);
        actions.iter().map(decision).collect()
    }

    /// The numbers of entries in the scheduler's state.
    pub fn sizes(&self) -> Sizes {
        let sizes = self.scheduler.state_sizes();
        Sizes {
            nodes: sizes.nodes,
            volumes: sizes.volumes,
            shards: sizes.shards,
        }
    }
}

fn settings(deployment: &Deployment) -> Settings {
    Settings {
        classes: deployment.classes.iter().map(request_class).collect(),
        plans: deployment.plans.iter().map(volume_plan).collect(),
        host_count: deployment.hosts,
        max_attempts: deployment.max_attempts,
        cancellation_allowed: deployment.cancellation_allowed,
        discovery_clients: deployment.discovery_clients,
        max_poll_interval: deployment.max_poll_interval,
        slow_start: SlowStart {
            initial_capacity: deployment.warmup.initial_capacity,
            duration: deployment.warmup.duration,
            window: deployment.warmup.window,
            burst_factor: deployment.warmup.burst_factor,
            initial_units_per_window: Units(deployment.warmup.units),
        },
        quiesce_period: deployment.quiesce_period,
        retry_budget: deployment.retry_budget.map(|budget| RetryBudget {
            window: budget.window,
            allowance: budget.allowance,
            ratio: budget.ratio,
        }),
        mean_units: Units(deployment.mean_units),
        max_units: Units(deployment.max_units),
        usage_report_period: deployment.usage_report_period,
        reports_remote_units: deployment.reports_remote_units,
        provisioned_value: deployment.provisioned_value,
        surplus_value: deployment.surplus_value,
    }
}

fn request_class(class: &Class) -> RequestClass {
    RequestClass {
        latency_objective: class.objective,
        priority_weight: class.priority,
        idempotency: match class.repeat {
            Repeat::Safe => Idempotency::Idempotent,
            Repeat::WithKey(scope, window) => with_key(scope, window),
            Repeat::Unsafe => Idempotency::NonIdempotent,
        },
        ordered: class.ordered,
    }
}

fn with_key(scope: Scope, window: Time) -> Idempotency {
    let scope = match scope {
        Scope::All => DeduplicationScope::All,
        Scope::Zone => DeduplicationScope::Zone,
        Scope::Shard => DeduplicationScope::Shard,
    };
    Idempotency::WithKey { scope, window }
}

fn volume_plan(plan: &Plan) -> VolumePlan {
    VolumePlan {
        reservation: UnitsPerSecond(plan.reservation),
        weight: plan.weight,
        limit: UnitsPerSecond(plan.limit),
        burst_capacity: Units(plan.burst),
        provisioned_rate: UnitsPerSecond(plan.provisioned),
    }
}

fn event(input: &Input) -> Event {
    match input {
        Input::List(kind, lines) => {
            Event::EndpointList(list_event(*kind), lines.iter().map(endpoint).collect())
        }
        Input::Arrival(arrival) => Event::RequestReceived(request(arrival)),
        Input::Timer => Event::TimerFired,
        Input::ResponseStarted(id) => Event::ResponseStarted(RequestId(*id)),
        Input::Disconnected(id) => Event::ResponseNotNeeded(RequestId(*id)),
        Input::Completed(completion) => Event::AttemptCompleted(completed_attempt(completion)),
    }
}

fn list_event(kind: ListKind) -> EndpointListEvent {
    match kind {
        ListKind::Cached => EndpointListEvent::Cached,
        ListKind::Snapshot => EndpointListEvent::Snapshot,
        ListKind::Delta => EndpointListEvent::Delta,
        ListKind::PollFailed => EndpointListEvent::PollFailed,
        ListKind::WatchLost => EndpointListEvent::WatchLost,
    }
}

fn endpoint(line: &Line) -> Endpoint {
    Endpoint {
        node: NodeId(line.node),
        zone: Zone(line.zone),
        shard: Shard(line.shard),
        status: match line.status {
            Status::InService => EndpointStatus::InService,
            Status::Draining => EndpointStatus::Draining,
            Status::Removed => EndpointStatus::Removed,
        },
        started_at: line.started_at,
    }
}

fn request(arrival: &Arrival) -> Request {
    Request {
        id: RequestId(arrival.id),
        volume: VolumeId(arrival.volume),
        plan: PlanIndex(arrival.plan),
        class: ClassIndex(arrival.class),
        key: arrival.key.map(ObjectKey),
        shard: arrival.shard.map(Shard),
        units: Units(arrival.units),
        host_count: arrival.hosts,
        deadline: arrival.deadline,
    }
}

fn completed_attempt(completion: &Completion) -> CompletedAttempt {
    CompletedAttempt {
        request: RequestId(completion.request),
        number: completion.number,
        node: NodeId(completion.node),
        outcome: match completion.ending {
            Ending::Served => Outcome::Served,
            Ending::Error => Outcome::Error,
            Ending::Overloaded => Outcome::Overloaded,
            Ending::TimedOut => Outcome::TimedOut,
            Ending::ConnectFailed => Outcome::ConnectFailed,
            Ending::Reset => Outcome::Reset,
            Ending::Cancelled => Outcome::Cancelled,
            Ending::NotDispatched => Outcome::NotDispatched,
        },
        request_closed: completion.closed,
        elapsed: completion.elapsed,
        remote_units: Units(completion.remote_units),
        utilization: completion.utilization,
    }
}

fn decision(action: &Action) -> Decision {
    match action {
        Action::Dispatch {
            request,
            node,
            times_out_at,
        } => Decision::Dispatch {
            request: request.0,
            node: node.0,
            deadline: *times_out_at,
        },
        Action::Reject {
            request,
            retry_after,
        } => Decision::Reject {
            request: request.0,
            retry_after: *retry_after,
        },
        Action::Fail(request) => Decision::Fail(request.0),
        Action::Cancel { request, attempt } => {
            let request = request.0;
            Decision::Cancel {
                request,
                attempt: *attempt,
            }
        }
        Action::OpenWatch => Decision::OpenWatch,
        Action::SetTimer(at) => Decision::SetTimer(*at),
    }
}
