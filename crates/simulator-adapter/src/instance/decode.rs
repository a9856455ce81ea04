//! Converts the simulator's messages to events for the scheduler.

use super::Instance;
use crate::wire::{
    AttemptOutcomeMessage, EndpointListKind, EndpointRow, EventError, EventMessage, IncomingRequest,
};
use deployment_settings::micros;
use io_scheduler::{
    ClassIndex, CompletedAttempt, Endpoint, Event, ObjectKey, PlanIndex, Request, Shard, Units,
    VolumeId,
};

impl Instance {
    /// Converts a message to an event. Returns `None` if the message has no effect on the
    /// scheduler, for example because the request is not tracked.
    ///
    /// # Errors
    ///
    /// Returns an error if the message contains an unknown class, plan or status code.
    pub fn decode_event(&mut self, message: EventMessage) -> Result<Option<Event>, EventError> {
        let event = match message {
            EventMessage::EndpointList { kind, endpoints } => {
                Some(self.decode_endpoint_list(kind, &endpoints))
            }
            EventMessage::RequestReceived(message) => {
                let request = self.decode_request(message)?;
                Some(Event::RequestReceived(request))
            }
            EventMessage::TimerFired {} => Some(Event::TimerFired),
            EventMessage::ResponseStarted { request } => {
                let id = self.requests.close_by_name(&request);
                id.map(Event::ResponseStarted)
            }
            EventMessage::ClientDisconnected { request } => {
                let id = self.requests.close_by_name(&request);
                id.map(Event::ResponseNotNeeded)
            }
            EventMessage::HealthCheckCompleted(message) => {
                // The message can be the first to name this node. The lookup then assigns the next
                // id, so that ids follow the order in which nodes are first named.
                self.nodes.id(&message.node);
                None
            }
            EventMessage::AttemptCompleted(message) => {
                let attempt = self.decode_attempt(&message)?;
                attempt.map(Event::AttemptCompleted)
            }
            // The registry handles starts and stops. Messages from other instances are ignored,
            // because no decision depends on them.
            EventMessage::Start { .. } | EventMessage::Stop {} | EventMessage::PeerMessage {} => {
                None
            }
        };
        Ok(event)
    }

    /// Converts an endpoint list, or changes to it.
    fn decode_endpoint_list(&mut self, kind: EndpointListKind, rows: &[EndpointRow]) -> Event {
        let mut endpoints = Vec::with_capacity(rows.len());
        for row in rows {
            endpoints.push(self.decode_endpoint(row));
        }
        Event::EndpointList(kind.into(), endpoints)
    }

    /// Converts a row of the endpoint list.
    fn decode_endpoint(&mut self, row: &EndpointRow) -> Endpoint {
        Endpoint {
            node: self.nodes.id(&row.node),
            zone: self.zones.id(&row.zone),
            shard: Shard(row.shard),
            status: row.condition.into(),
            started_at: row.started_at(),
        }
    }

    /// Converts a client's request and adds it to the tracked requests.
    fn decode_request(&mut self, message: IncomingRequest) -> Result<Request, EventError> {
        let plan = self.plan_index(&message)?;
        let class = self.class_index(&message)?;
        let shard = message.shard();
        Ok(Request {
            id: self.requests.add(message.request),
            volume: VolumeId(message.volume),
            plan,
            class,
            key: message.object_key.map(ObjectKey),
            shard,
            units: Units(message.units),
            host_count: message.hosts.unwrap_or_default(),
            deadline: micros(message.deadline_ms),
        })
    }

    /// Returns the index of a request's plan in the settings.
    fn plan_index(&self, message: &IncomingRequest) -> Result<PlanIndex, EventError> {
        let index = self
            .plan_names
            .iter()
            .position(|name| *name == message.plan);
        index.map(PlanIndex).ok_or_else(|| EventError::UnknownPlan {
            request: message.request.clone(),
            plan: message.plan.clone(),
        })
    }

    /// Returns the index of a request's class in the settings.
    fn class_index(&self, message: &IncomingRequest) -> Result<ClassIndex, EventError> {
        let index = self
            .class_names
            .iter()
            .position(|name| *name == message.class);
        index
            .map(ClassIndex)
            .ok_or_else(|| EventError::UnknownClass {
                request: message.request.clone(),
                class: message.class.clone(),
            })
    }

    /// Converts the outcome of an attempt and updates the tracked request. Returns `None` if the
    /// request is not tracked.
    fn decode_attempt(
        &mut self,
        message: &AttemptOutcomeMessage,
    ) -> Result<Option<CompletedAttempt>, EventError> {
        let Some(outcome) = message.status.outcome() else {
            return Err(EventError::UnknownStatus {
                request: message.request.clone(),
                status: message.status,
            });
        };
        // The node is looked up before the request: if the message is the first to name the node,
        // the lookup assigns the next id, even if the request is not tracked.
        let node = self.nodes.id(&message.node);
        let Some(request) = self.requests.id(&message.request) else {
            return Ok(None);
        };
        self.requests.end_attempt(request);
        if message.response_not_needed {
            self.requests.close(request);
        }
        Ok(Some(CompletedAttempt {
            request,
            number: message.attempt,
            node,
            outcome,
            response_not_needed: message.response_not_needed,
            elapsed: micros(message.elapsed_ms),
            remote_units: Units(message.remote_units),
            utilization: message.utilization(),
        }))
    }
}
