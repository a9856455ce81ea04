//! The instances that this process hosts.

use crate::error::EventError;
use crate::instance::Instance;
use crate::wire::{ActionBatch, ActionMessage, EventBatch, EventMessage, InstanceActions, InstanceEvents};
use deployment_settings::micros;
use io_scheduler::Micros;
use std::collections::BTreeMap;

/// The running instances by their ids on the wire. They share nothing.
#[derive(Default)]
pub struct InstanceRegistry {
    instances: BTreeMap<u64, Instance>,
}

impl InstanceRegistry {
    /// Hands each instance its events and gathers the actions, in the order of the batch.
    ///
    /// # Errors
    ///
    /// If an event cannot be handled; the batch is then handled only in part.
    pub fn handle(&mut self, batch: EventBatch) -> Result<ActionBatch, EventError> {
        let now = micros(batch.now_ms);
        let mut reply = ActionBatch { frame: batch.frame, instances: Vec::new() };
        for part in batch.instances {
            let instance = part.instance;
            let actions = self.handle_instance(part, now)?;
            if !actions.is_empty() {
                reply.instances.push(InstanceActions { instance, actions });
            }
        }
        Ok(reply)
    }

    /// Hands one instance its events and returns its actions. A start or a stop voids the events before it.
    fn handle_instance(
        &mut self,
        part: InstanceEvents,
        now: Micros,
    ) -> Result<Vec<ActionMessage>, EventError> {
        let id = part.instance;
        let mut events = Vec::new();
        for message in part.events {
            match message {
                EventMessage::Start { seed, settings } => {
                    events.clear();
                    self.instances.insert(id, Instance::new(seed, &settings, now)?);
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

    fn instance(&mut self, id: u64) -> Result<&mut Instance, EventError> {
        self.instances.get_mut(&id).ok_or(EventError::NotStarted { instance: id })
    }
}
