//! The table of simulated gateways that this process hosts.

use crate::error::EventError;
use crate::instance::Instance;
use crate::wire::{
    ActionBatch, ActionMessage, EventBatch, EventMessage, InstanceActions, InstanceEvents,
};
use deployment_settings::micros;
use io_scheduler::Micros;
use std::collections::BTreeMap;

/// The running instances by their ids on the wire. They share no state.
#[derive(Default)]
pub struct InstanceRegistry {
    instances: BTreeMap<u64, Instance>,
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
            frame: batch.frame,
            instances: Vec::new(),
        };
        for instance_events in batch.instances {
            let instance = instance_events.instance;
            let actions = self.handle_instance(instance_events, now)?;
            if !actions.is_empty() {
                reply.instances.push(InstanceActions { instance, actions });
            }
        }
        Ok(reply)
    }

    /// Passes one instance its events and returns its actions. A start or a stop discards the earlier events of
    /// the batch, as the state that they would change is lost.
    fn handle_instance(
        &mut self,
        instance_events: InstanceEvents,
        now: Micros,
    ) -> Result<Vec<ActionMessage>, EventError> {
        let id = instance_events.instance;
        let mut events = Vec::new();
        for message in instance_events.events {
            match message {
                EventMessage::Start { seed, settings } => {
                    events.clear();
                    self.instances
                        .insert(id, Instance::new(seed, &settings, now)?);
                }
                EventMessage::Stop {} => {
                    events.clear();
                    self.instances.remove(&id);
                }
                other => events.extend(self.instance(id)?.decode_event(other)?),
            }
        }
        match self.instances.get_mut(&id) {
            Some(instance) => Ok(instance.handle(now, &events)),
            None => Ok(Vec::new()),
        }
    }

    /// The running instance with this id.
    fn instance(&mut self, id: u64) -> Result<&mut Instance, EventError> {
        self.instances
            .get_mut(&id)
            .ok_or(EventError::NotStarted { instance: id })
    }
}
