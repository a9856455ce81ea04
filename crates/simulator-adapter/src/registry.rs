//! The registry of the simulated gateways that this process hosts.

use crate::instance::Instance;
use crate::wire::{
    ActionBatch, ActionMessage, EventBatch, EventError, EventMessage, InstanceActions,
    InstanceEvents, InstanceId,
};
use deployment_settings::micros;
use io_scheduler::{Event, Micros};
use std::collections::BTreeMap;

/// The running instances (simulated gateways). They share no state.
#[derive(Default)]
pub struct InstanceRegistry {
    /// The instances that were started and have not been stopped.
    instances: BTreeMap<InstanceId, Instance>,
}

impl InstanceRegistry {
    /// Passes the events of a batch to their instances and collects the resulting actions, in the
    /// order of the batch.
    ///
    /// # Errors
    ///
    /// Returns an error at the first event that cannot be handled. The rest of the batch is then
    /// skipped.
    pub fn handle(&mut self, batch: EventBatch) -> Result<ActionBatch, EventError> {
        let now = micros(batch.now_ms);
        let mut reply = ActionBatch {
            number: batch.number,
            instances: Vec::new(),
        };
        for InstanceEvents { instance, events } in batch.instances {
            let events = self.decode_events(instance, events, now)?;
            let actions = self.run_instance(instance, &events, now);
            if !actions.is_empty() {
                reply.instances.push(InstanceActions { instance, actions });
            }
        }
        Ok(reply)
    }

    /// Decodes the messages to an instance. Messages to start or stop the instance are executed
    /// here; all others become events for its scheduler.
    ///
    /// A start or stop discards the events that precede it in the batch, because the instance loses
    /// the state that they would change.
    fn decode_events(
        &mut self,
        id: InstanceId,
        messages: Vec<EventMessage>,
        now: Micros,
    ) -> Result<Vec<Event>, EventError> {
        let mut events = Vec::new();
        for message in messages {
            match message {
                EventMessage::Start { seed, settings } => {
                    events.clear();
                    let instance = Instance::new(seed, &settings, now)?;
                    self.instances.insert(id, instance);
                }
                EventMessage::Stop {} => {
                    events.clear();
                    self.instances.remove(&id);
                }
                other => {
                    if let Some(event) = self.running_instance(id)?.decode_event(other)? {
                        events.push(event);
                    }
                }
            }
        }
        Ok(events)
    }

    /// Passes the events to an instance and returns its actions. An instance that is not running
    /// has no actions.
    fn run_instance(
        &mut self,
        id: InstanceId,
        events: &[Event],
        now: Micros,
    ) -> Vec<ActionMessage> {
        match self.instances.get_mut(&id) {
            Some(instance) => instance.handle(now, events),
            None => Vec::new(),
        }
    }

    /// Returns the instance with this id. Fails if it is not running.
    fn running_instance(&mut self, id: InstanceId) -> Result<&mut Instance, EventError> {
        self.instances
            .get_mut(&id)
            .ok_or(EventError::NotStarted { instance: id })
    }
}
