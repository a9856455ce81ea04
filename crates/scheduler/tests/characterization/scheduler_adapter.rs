//! Adapter between the simulation and the scheduler: converts the simulation's types to settings
//! and events of the crate, and the scheduler's actions to the simulation's decisions.
//!
//! No other file of this test names items of the crate.

use crate::types::{
    AttemptCompletion, AttemptOutcome, Class, ClientRequest, Decision, Deployment, EndpointEntry,
    Input,
};
use crate::types::{DedupScope, Idempotency, ListUpdateKind, Micros, NodeStatus, Plan, StateSizes};
use io_scheduler::{Action, CompletedAttempt, Event, Outcome, Request, Scheduler};
use io_scheduler::{ClassIndex, PlanIndex, Units, UnitsPerSecond};
use io_scheduler::{
    DeduplicationScope, Idempotency as SchedulerIdempotency, RequestClass, RetryBudget, Settings,
    SlowStart,
};
use io_scheduler::{Endpoint, EndpointListEvent, EndpointStatus, VolumePlan};
use io_scheduler::{NodeId, ObjectKey, RequestId, Shard, VolumeId, Zone};

/// The scheduler under test.
pub struct SchedulerAdapter {
    scheduler: Scheduler,
}

impl SchedulerAdapter {
    /// Creates a scheduler that starts at `now`.
    pub fn new(deployment: &Deployment, seed: u64, now: Micros) -> Self {
        SchedulerAdapter {
            scheduler: Scheduler::new(settings(deployment), seed, now),
        }
    }

    /// Passes the inputs received at `now` to the scheduler and returns its decisions in order.
    pub fn handle(&mut self, now: Micros, inputs: &[Input]) -> Vec<Decision> {
        let events: Vec<Event> = inputs.iter().map(event).collect();
        let mut actions = Vec::new();
        self.scheduler.handle(now, &events, &mut actions);
        actions.iter().map(decision).collect()
    }

    /// Returns the numbers of entries in the scheduler's state.
    pub fn sizes(&self) -> StateSizes {
        let sizes = self.scheduler.state_sizes();
        StateSizes {
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
        host_count: deployment.host_count,
        longest_client_timeout: 10_000_000,
        max_attempts: deployment.max_attempts,
        cancellation_allowed: deployment.cancellation_allowed,
        discovery_clients: deployment.discovery_clients,
        max_poll_interval: deployment.max_poll_interval,
        slow_start: SlowStart {
            initial_capacity: deployment.slow_start.initial_capacity,
            duration: deployment.slow_start.duration,
            window: deployment.slow_start.window,
            burst_factor: deployment.slow_start.burst_factor,
            initial_units_per_window: Units(deployment.slow_start.initial_units_per_window),
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
        latency_objective: class.latency_objective,
        priority_weight: class.priority_weight,
        idempotency: match class.idempotency {
            Idempotency::Idempotent => SchedulerIdempotency::Idempotent,
            Idempotency::WithKey(scope, window) => with_key(scope, window),
            Idempotency::NonIdempotent => SchedulerIdempotency::NonIdempotent,
        },
        ordered: class.ordered,
    }
}

fn with_key(scope: DedupScope, window: Micros) -> SchedulerIdempotency {
    let scope = match scope {
        DedupScope::All => DeduplicationScope::All,
        DedupScope::Zone => DeduplicationScope::Zone,
        DedupScope::Shard => DeduplicationScope::Shard,
    };
    SchedulerIdempotency::WithKey { scope, window }
}

fn volume_plan(plan: &Plan) -> VolumePlan {
    VolumePlan {
        reservation: UnitsPerSecond(plan.reservation),
        weight: plan.weight,
        limit: UnitsPerSecond(plan.limit),
        burst_capacity: Units(plan.burst_capacity),
        provisioned_rate: UnitsPerSecond(plan.provisioned_rate),
    }
}

fn event(input: &Input) -> Event {
    match input {
        Input::EndpointList(kind, entries) => {
            Event::EndpointList(list_event(*kind), entries.iter().map(endpoint).collect())
        }
        Input::RequestReceived(client_request) => Event::RequestReceived(request(client_request)),
        Input::TimerFired => Event::TimerFired,
        Input::ResponseStarted(id) => Event::ResponseStarted(RequestId(*id)),
        Input::ClientDisconnected(id) => Event::ResponseNotNeeded(RequestId(*id)),
        Input::AttemptCompleted(attempt) => Event::AttemptCompleted(completed_attempt(attempt)),
    }
}

fn list_event(kind: ListUpdateKind) -> EndpointListEvent {
    match kind {
        ListUpdateKind::Cached => EndpointListEvent::Cached,
        ListUpdateKind::Snapshot => EndpointListEvent::Snapshot,
        ListUpdateKind::Delta => EndpointListEvent::Delta,
        ListUpdateKind::PollFailed => EndpointListEvent::PollFailed,
        ListUpdateKind::WatchLost => EndpointListEvent::WatchLost,
    }
}

fn endpoint(entry: &EndpointEntry) -> Endpoint {
    Endpoint {
        node: NodeId(entry.node),
        zone: Zone(entry.zone),
        shard: Shard(entry.shard),
        status: match entry.status {
            NodeStatus::InService => EndpointStatus::InService,
            NodeStatus::Draining => EndpointStatus::Draining,
            NodeStatus::Removed => EndpointStatus::Removed,
        },
        started_at: entry.started_at,
    }
}

fn request(client_request: &ClientRequest) -> Request {
    Request {
        id: RequestId(client_request.id),
        volume: VolumeId(client_request.volume),
        plan: PlanIndex(client_request.plan),
        class: ClassIndex(client_request.class),
        key: client_request.key.map(ObjectKey),
        shard: client_request.shard.map(Shard),
        units: Units(client_request.units),
        host_count: client_request.host_count,
        deadline: client_request.deadline,
    }
}

fn completed_attempt(completion: &AttemptCompletion) -> CompletedAttempt {
    CompletedAttempt {
        request: RequestId(completion.request),
        number: completion.number,
        node: NodeId(completion.node),
        outcome: match completion.outcome {
            AttemptOutcome::Served => Outcome::Served,
            AttemptOutcome::Error => Outcome::Error,
            AttemptOutcome::Overloaded => Outcome::Overloaded,
            AttemptOutcome::TimedOut => Outcome::TimedOut,
            AttemptOutcome::ConnectFailed => Outcome::ConnectFailed,
            AttemptOutcome::Reset => Outcome::Reset,
            AttemptOutcome::Cancelled => Outcome::Cancelled,
            AttemptOutcome::NotDispatched => Outcome::NotDispatched,
        },
        response_not_needed: completion.response_not_needed,
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
            ..
        } => Decision::Dispatch {
            request: request.0,
            node: node.0,
            times_out_at: *times_out_at,
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
        Action::AcceptClients | Action::CloseClients => {
            unreachable!("no scenario has an unconfirmed list or requests a shutdown")
        }
        Action::OpenWatch => Decision::OpenWatch,
        Action::SetTimer(at) => Decision::SetTimer(*at),
    }
}
