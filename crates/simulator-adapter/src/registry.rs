//! The table of simulated gateways that this process hosts.

use crate::instance::Instance;
use crate::wire::{
    ActionBatch, ActionMessage, EventBatch, EventError, EventMessage, InstanceActions,
    InstanceEvents, InstanceId,
};
use deployment_settings::micros;
use io_scheduler::{Event, Micros};
use std::collections::BTreeMap;

/// The running instances. They share no state.
#[derive(Default)]
pub struct InstanceRegistry {
    /// The instances that have started and not stopped.
    instances: BTreeMap<InstanceId, Instance>,
}

impl InstanceRegistry {
    /// Passes each instance its events and collects their actions, in the order of the batch.
    ///
    /// # Errors
    ///
    /// If an event cannot be handled; the rest of the batch is then not handled.
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

    /// Starts and stops the instance as the messages say, and decodes the others for its scheduler.
    /// A start or a stop discards the events before it, as the state that they would change is
    /// lost.
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

    /// Passes the events to the instance and returns its actions; none if it is not running.
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

    /// The instance with this id, which has to run.
    fn running_instance(&mut self, id: InstanceId) -> Result<&mut Instance, EventError> {
        self.instances
            .get_mut(&id)
            .ok_or(EventError::NotStarted { instance: id })
    }
}
