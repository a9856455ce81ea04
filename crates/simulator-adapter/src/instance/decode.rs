//! The simulator's events as events of the scheduler.

use super::Instance;
use crate::error::EventError;
use crate::wire::{
    AttemptOutcomeMessage, EndpointCondition, EndpointListKind, EndpointRow, EventMessage,
    HealthCheckMessage, IncomingRequest, StatusCode,
};
use deployment_settings::micros;
use io_scheduler::{
    CompletedAttempt, Endpoint, EndpointListEvent, EndpointStatus, Event, NodeId, ObjectKey, Request, Shard,
    VolumeId, Zone,
};

impl Instance {
    /// Converts an event. `None` if it does not concern the scheduler, for instance because its request is
    /// not known any more.
    ///
    /// # Errors
    ///
    /// If the event names a class, a plan or a status that is not known.
    pub fn decode_event(&mut self, message: EventMessage) -> Result<Option<Event>, EventError> {
        Ok(match message {
            EventMessage::EndpointList { kind, endpoints } => {
                let endpoints = endpoints.iter().map(|row| self.endpoint(row)).collect();
                Some(Event::EndpointList(kind.into(), endpoints))
            }
            EventMessage::RequestReceived(message) => Some(Event::RequestReceived(self.request(message)?)),
            EventMessage::TimerFired {} => Some(Event::TimerFired),
            EventMessage::ResponseStarted { request } => {
                self.requests.close(&request).map(Event::ResponseStarted)
            }
            EventMessage::ClientDisconnected { request } => {
                self.requests.close(&request).map(Event::ClientDisconnected)
            }
            EventMessage::HealthCheckCompleted(message) => Some(self.health_check(&message)),
            EventMessage::AttemptCompleted(message) => {
                self.completed_attempt(&message)?.map(Event::AttemptCompleted)
            }
            EventMessage::Start { .. } | EventMessage::Stop {} | EventMessage::PeerMessage {} => None,
        })
    }

    fn node(&mut self, name: &str) -> NodeId {
        NodeId(self.nodes.number(name))
    }

    fn endpoint(&mut self, row: &EndpointRow) -> Endpoint {
        Endpoint {
            node: self.node(&row.node),
            zone: Zone(self.zones.number(&row.zone)),
            shard: Shard(row.shard),
            status: row.condition.into(),
            started_at: row.started_at_ms.filter(|started_at| *started_at > 0.0).map(micros),
        }
    }

    fn request(&mut self, message: IncomingRequest) -> Result<Request, EventError> {
        let index = |names: &[String], field: &'static str, name: &str| {
            let index = names.iter().position(|known| known == name);
            index.ok_or_else(|| EventError::UnknownName {
                request: message.request.clone(),
                field,
                name: name.to_owned(),
            })
        };
        let plan = index(&self.plan_names, "qos_class", &message.plan)?;
        let class = index(&self.class_names, "lane", &message.class)?;
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
            is_retry: message.is_retry,
        })
    }

    fn health_check(&mut self, message: &HealthCheckMessage) -> Event {
        Event::HealthCheckCompleted {
            node: self.node(&message.node),
            healthy: message.status == StatusCode::OK,
            elapsed: micros(message.elapsed_ms),
            load: self.load(message),
        }
    }

    /// Requests waiting or in progress at the node, if its load report has them.
    fn load(&self, message: &HealthCheckMessage) -> Option<f64> {
        let report = message.load_report.as_ref()?;
        report.get(self.load_value?).copied()
    }

    fn completed_attempt(
        &mut self,
        message: &AttemptOutcomeMessage,
    ) -> Result<Option<CompletedAttempt>, EventError> {
        let Some(outcome) = message.status.outcome() else {
            let request = message.request.clone();
            return Err(EventError::UnknownStatus { request, status: message.status });
        };
        // Also the outcome of an unknown request gives its node a number.
        let node = self.node(&message.node);
        let Some(id) = self.requests.id(&message.request) else { return Ok(None) };
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

/// A negative number stands for a new object, which has no shard yet.
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
