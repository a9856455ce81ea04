//! Conversion of the simulator's messages to events for the scheduler.

use super::Instance;
use crate::error::EventError;
use crate::wire::{
    AttemptOutcomeMessage, EndpointCondition, EndpointListKind, EndpointRow, EventMessage,
    IncomingRequest,
};
use deployment_settings::micros;
use io_scheduler::{
    CompletedAttempt, Endpoint, EndpointListEvent, EndpointStatus, Event, NodeId, ObjectKey,
    Request, Shard, VolumeId, Zone,
};

impl Instance {
    /// Converts a message. Returns `None` if the scheduler need not handle it, for instance because its request
    /// is no longer tracked.
    ///
    /// # Errors
    ///
    /// If the message names an unknown class, plan or status.
    pub fn decode_event(&mut self, message: EventMessage) -> Result<Option<Event>, EventError> {
        Ok(match message {
            EventMessage::EndpointList { kind, endpoints } => {
                let endpoints = endpoints.iter().map(|row| self.endpoint(row)).collect();
                Some(Event::EndpointList(kind.into(), endpoints))
            }
            EventMessage::RequestReceived(message) => {
                Some(Event::RequestReceived(self.request(message)?))
            }
            EventMessage::TimerFired {} => Some(Event::TimerFired),
            EventMessage::ResponseStarted { request } => {
                self.requests.close(&request).map(Event::ResponseStarted)
            }
            EventMessage::ClientDisconnected { request } => {
                self.requests.close(&request).map(Event::ClientDisconnected)
            }
            EventMessage::HealthCheckCompleted(message) => {
                self.note_node(&message.node);
                None
            }
            EventMessage::AttemptCompleted(message) => self
                .completed_attempt(&message)?
                .map(Event::AttemptCompleted),
            EventMessage::Start { .. } | EventMessage::Stop {} | EventMessage::PeerMessage {} => {
                None
            }
        })
    }

    /// Id of the node with this name; a new name gets a new id.
    fn node(&mut self, name: &str) -> NodeId {
        NodeId(self.nodes.id_of(name))
    }

    /// Assigns an id to the node of a message that is otherwise ignored. Ids are numbered in the order in which
    /// node names first appear, in any message.
    fn note_node(&mut self, name: &str) {
        self.nodes.id_of(name);
    }

    /// Converts one row of the endpoint list.
    fn endpoint(&mut self, row: &EndpointRow) -> Endpoint {
        Endpoint {
            node: self.node(&row.node),
            zone: Zone(self.zones.id_of(&row.zone)),
            shard: Shard(row.shard),
            status: row.condition.into(),
            started_at: row
                .started_at_ms
                .filter(|started_at| *started_at > 0.0)
                .map(micros),
        }
    }

    /// Converts a client's request and starts to track it.
    fn request(&mut self, message: IncomingRequest) -> Result<Request, EventError> {
        let unknown_name = |field: &'static str, name: &str| EventError::UnknownName {
            request: message.request.clone(),
            field,
            name: name.to_owned(),
        };
        let plan = index_of(&self.plan_names, &message.plan)
            .ok_or_else(|| unknown_name("qos_class", &message.plan))?;
        let class = index_of(&self.class_names, &message.class)
            .ok_or_else(|| unknown_name("lane", &message.class))?;
        Ok(Request {
            id: self.requests.add(message.request),
            volume: VolumeId(message.volume),
            plan,
            class,
            key: message.object_key.map(ObjectKey),
            shard: shard(message.shard),
            units: message.units,
            hosts: message.hosts.unwrap_or_default(),
            deadline: micros(message.deadline_ms),
        })
    }

    /// Converts the outcome of an attempt and updates its request. Returns `None` if the request is no longer
    /// tracked.
    fn completed_attempt(
        &mut self,
        message: &AttemptOutcomeMessage,
    ) -> Result<Option<CompletedAttempt>, EventError> {
        let Some(outcome) = message.status.outcome() else {
            let request = message.request.clone();
            return Err(EventError::UnknownStatus {
                request,
                status: message.status,
            });
        };
        // Looked up even if the request is no longer tracked: ids are numbered in the order in which node names
        // first appear, and this message may be the first to name its node.
        let node = self.node(&message.node);
        let Some(id) = self.requests.id(&message.request) else {
            return Ok(None);
        };
        if let Some(request) = self.requests.get_mut(id) {
            request.attempts_in_flight = request.attempts_in_flight.saturating_sub(1);
            request.open &= !message.request_closed;
        }
        Ok(Some(CompletedAttempt {
            request: id,
            number: message.attempt,
            node,
            outcome,
            request_closed: message.request_closed,
            elapsed: micros(message.elapsed_ms),
            remote_units: message.remote_units,
            utilization: message.utilization(),
        }))
    }
}

/// Index of a name in a list of names.
fn index_of(names: &[String], name: &str) -> Option<usize> {
    names.iter().position(|known| known == name)
}

/// Shard of a request. A negative number stands for a new object, which has no shard yet.
fn shard(number: f64) -> Option<Shard> {
    if number >= 0.0 {
        Some(Shard(number as u64))
    } else {
        None
    }
}

impl From<EndpointListKind> for EndpointListEvent {
    fn from(kind: EndpointListKind) -> Self {
        match kind {
            EndpointListKind::Cached => EndpointListEvent::Cached,
            EndpointListKind::Snapshot => EndpointListEvent::Snapshot,
            EndpointListKind::Delta => EndpointListEvent::Delta,
            EndpointListKind::PollFailed => EndpointListEvent::PollFailed,
        }
    }
}

impl From<EndpointCondition> for EndpointStatus {
    fn from(condition: EndpointCondition) -> Self {
        match condition {
            EndpointCondition::InService => EndpointStatus::InService,
            EndpointCondition::Draining => EndpointStatus::Draining,
            EndpointCondition::Removed => EndpointStatus::Removed,
        }
    }
}
