//! The dispatcher joins clients, nodes and the scheduler, independent of sockets and wire formats.
//!
//! It reports requests, attempts and endpoint lists to the scheduler as events, and turns the scheduler's
//! actions into commands for the event loop. It makes sure that each request gets exactly one final response,
//! prevents new attempts from being written to draining nodes, and counts the service that each volume gets.

mod attempts;
mod command;
mod in_flight;
mod nodes;
mod request;
mod responses;
mod scheduling;
mod volume_counters;

pub use command::Command;
pub use nodes::NodeState;
pub use request::{
    AttemptResult, InvalidRequest, ObjectEntry, Operation, ReplySlot, RequestParameters, Response,
    ResponseBody, StorageRequest,
};
pub use volume_counters::VolumeCounters;

use crate::endpoint::EndpointRecord;
use crate::memory_budget::MemoryBudget;
use crate::timer_queue::{Timer, TimerQueue};
use deployment_settings::{micros, DeploymentSettings, UnknownValue};
use in_flight::InFlightTable;
use io_scheduler::{
    Action, EndpointListEvent, Event, Micros, NodeId, ObjectKey, Request, RequestId, Scheduler,
    Shard, StateSizes, VolumeId,
};
use nodes::NodeTable;
use std::collections::BTreeMap;
use volume_counters::VolumeCounterTable;

/// Time reserved for the final response to reach the client before the client's timeout; at most a quarter of
/// that timeout.
const RESPONSE_DELIVERY_MARGIN: Micros = 6_000;
/// How long after its deadline the dispatcher itself fails a request that the scheduler has not ended.
const OVERDUE_GRACE: Micros = 3_000;
/// Retry-After of requests that are rejected because the memory budget is exhausted.
pub const OVERLOADED_RETRY_AFTER: Micros = 250_000;

/// Joins clients, nodes and the scheduler; see the [module](self).
pub struct Dispatcher {
    scheduler: Scheduler,
    in_flight: InFlightTable,
    nodes: NodeTable,
    volume_counters: VolumeCounterTable,
    /// Events to pass to the next call of the scheduler.
    events: Vec<Event>,
    /// Buffer for the scheduler's actions, kept to reuse its memory; empty between calls.
    actions: Vec<Action>,
    /// Commands that the event loop has not taken yet.
    commands: Vec<Command>,
    /// The time for which [`Timer::Scheduler`] is set, if it is set.
    scheduler_timer: Option<Micros>,
}

impl Dispatcher {
    /// A dispatcher without nodes and requests. `seed` seeds the scheduler's random choices.
    ///
    /// # Errors
    ///
    /// Fails if the settings contain a value that the scheduler does not know.
    pub fn new(
        settings: &DeploymentSettings,
        budget: MemoryBudget,
        seed: u64,
        now: Micros,
    ) -> Result<Dispatcher, UnknownValue> {
        let drain_grace = micros(settings.rules.drain_grace_ms);
        Ok(Dispatcher {
            scheduler: Scheduler::new(settings.to_scheduler_settings()?, seed, now),
            in_flight: InFlightTable::new(budget),
            nodes: NodeTable::new(settings.zones.clone(), drain_grace),
            volume_counters: VolumeCounterTable::default(),
            events: Vec::new(),
            actions: Vec::new(),
            commands: Vec::new(),
            scheduler_timer: None,
        })
    }

    /// The id of a node, allocated if the name has none. A name keeps its id until the node is removed and
    /// its last attempt has ended.
    pub fn node_id(&mut self, name: &str) -> NodeId {
        self.nodes.id_of(name)
    }

    /// Applies an endpoint list or a delta, and reports it to the scheduler. `kind` may also be the failure
    /// of a poll or watch, without records.
    pub fn update_endpoints(
        &mut self,
        kind: EndpointListEvent,
        records: &[EndpointRecord],
        now: Micros,
    ) {
        let endpoints = self.nodes.apply(kind, records, now);
        self.events.push(Event::EndpointList(kind, endpoints));
    }

    /// Whether a node is listed, or removed with attempts in flight.
    #[must_use]
    pub fn knows_node(&self, node: NodeId) -> bool {
        self.nodes.contains(node)
    }

    /// Whether an attempt may start to be written to a node at the time `now`. The scheduler dispatches
    /// nothing to a draining node, but the node may have started to drain while an attempt waited for its
    /// connection.
    #[must_use]
    pub fn may_write(&self, node: NodeId, now: Micros) -> bool {
        self.nodes.may_write(node, now)
    }

    /// Whether any node is in service.
    #[must_use]
    pub fn has_endpoint(&self) -> bool {
        self.nodes.has_in_service()
    }

    /// The state of all nodes, by id.
    pub fn nodes(&self) -> impl Iterator<Item = &NodeState> {
        self.nodes.iter()
    }

    /// The counters of the volumes with the most requests, by volume.
    #[must_use]
    pub fn volume_counters(&self) -> &BTreeMap<u64, VolumeCounters> {
        self.volume_counters.by_volume()
    }

    /// How much state the scheduler keeps.
    #[must_use]
    pub fn state_sizes(&self) -> StateSizes {
        self.scheduler.state_sizes()
    }

    /// Number of requests that have no final response yet.
    #[must_use]
    pub fn open_requests(&self) -> usize {
        self.in_flight.awaiting_response_count()
    }

    /// Accepts a request. Its final response is a [`Command::Respond`] of this turn or a later one.
    pub fn submit(
        &mut self,
        request: StorageRequest,
        reply_slot: ReplySlot,
        now: Micros,
        timers: &mut TimerQueue,
    ) -> RequestId {
        let id = self.in_flight.allocate_id();
        if self
            .in_flight
            .contains_client_request_id(&request.client_request_id)
        {
            let response = Response::Invalid(InvalidRequest::DuplicateClientRequestId);
            self.commands.push(Command::Respond {
                reply_slot,
                response,
            });
            return id;
        }
        self.volume_counters.record_received(request.volume);
        if !self.in_flight.has_capacity(request.body.len()) {
            let response = Response::Rejected {
                retry_after: OVERLOADED_RETRY_AFTER,
            };
            self.volume_counters
                .record_response(request.volume, request.units, &response);
            self.commands.push(Command::Respond {
                reply_slot,
                response,
            });
            return id;
        }
        let deadline = response_deadline(now, request.client_timeout);
        timers.set(deadline + OVERDUE_GRACE, Timer::RequestOverdue(id));
        self.events.push(Event::RequestReceived(scheduler_request(
            id, &request, deadline,
        )));
        self.in_flight.insert(id, request, reply_slot, deadline);
        id
    }
}

/// The latest time to send the final response to a client that waits for `client_timeout` from `now` on.
fn response_deadline(now: Micros, client_timeout: Micros) -> Micros {
    let margin = RESPONSE_DELIVERY_MARGIN.min(client_timeout / 4);
    now + (client_timeout - margin).max(0)
}

/// A client's request in the scheduler's form.
fn scheduler_request(id: RequestId, request: &StorageRequest, deadline: Micros) -> Request {
    Request {
        id,
        volume: VolumeId(request.volume),
        plan: request.plan,
        class: request.class,
        key: Some(ObjectKey(request.object)),
        shard: request.shard.map(Shard),
        units: request.units,
        hosts: request.hosts,
        deadline,
    }
}
