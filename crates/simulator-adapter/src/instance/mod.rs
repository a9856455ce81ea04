//! One simulated gateway: its scheduler, and the tables that map names on the wire to the scheduler's ids.

mod decode;
mod encode;
mod names;
mod requests;

use crate::error::EventError;
use crate::wire::ActionMessage;
use deployment_settings::DeploymentSettings;
use io_scheduler::{Event, Micros, Scheduler};
use names::NameTable;
use requests::RequestTable;

/// One simulated gateway.
pub struct Instance {
    scheduler: Scheduler,
    /// Names of the classes; a class's index is its id.
    class_names: Vec<String>,
    /// Names of the plans; a plan's index is its id.
    plan_names: Vec<String>,
    /// Ids of zones by name.
    zones: NameTable,
    /// Ids of nodes by name.
    nodes: NameTable,
    /// Requests that messages may still refer to.
    requests: RequestTable,
}

impl Instance {
    /// Creates a gateway whose random numbers start from `seed`, at the simulated time `now`.
    ///
    /// # Errors
    ///
    /// If the settings cannot be converted for the scheduler.
    pub fn new(seed: u64, settings: &DeploymentSettings, now: Micros) -> Result<Self, EventError> {
        Ok(Instance {
            scheduler: Scheduler::new(settings.to_scheduler_settings()?, seed, now),
            class_names: settings
                .classes
                .iter()
                .map(|class| class.name.clone())
                .collect(),
            plan_names: settings
                .plans
                .iter()
                .map(|plan| plan.name.clone())
                .collect(),
            zones: NameTable::from_names(&settings.zones),
            nodes: NameTable::default(),
            requests: RequestTable::default(),
        })
    }

    /// Passes the events to the scheduler and returns the resulting actions as messages.
    pub fn handle(&mut self, now: Micros, events: &[Event]) -> Vec<ActionMessage> {
        let mut actions = Vec::new();
        self.scheduler.handle(now, events, &mut actions);
        let mut messages = Vec::new();
        for action in &actions {
            messages.extend(self.encode_action(action, now));
        }
        self.requests.remove_finished();
        messages
    }
}
