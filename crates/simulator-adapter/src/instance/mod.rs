//! An instance: one simulated gateway. It consists of a scheduler and of the tables that map names
//! on the wire to the scheduler's ids.

mod decode;
mod encode;
mod nodes;
mod requests;
mod zones;

use crate::wire::{ActionMessage, ClassName, EventError, PlanName};
use deployment_settings::DeploymentSettings;
use io_scheduler::{Event, Micros, Scheduler};
use nodes::NodeTable;
use requests::RequestTable;
use zones::ZoneTable;

/// A simulated gateway.
pub struct Instance {
    /// Decides which actions the gateway takes.
    scheduler: Scheduler,
    /// Names of the classes, in the order of the settings. The scheduler refers to a class by its
    /// index in this list.
    class_names: Vec<ClassName>,
    /// Names of the plans, in the order of the settings. The scheduler refers to a plan by its
    /// index in this list.
    plan_names: Vec<PlanName>,
    /// Ids of the zones that the settings or a message have named.
    zones: ZoneTable,
    /// Ids of the nodes that a message has named.
    nodes: NodeTable,
    /// The requests that messages may still refer to.
    requests: RequestTable,
}

impl Instance {
    /// Creates an instance. `seed` is the seed of the hashes that the scheduler uses in place of
    /// random numbers, and `now` is the current simulated time.
    ///
    /// # Errors
    ///
    /// Returns an error if the settings cannot be converted to the scheduler's settings.
    pub fn new(seed: u64, settings: &DeploymentSettings, now: Micros) -> Result<Self, EventError> {
        let scheduler_settings = settings.to_scheduler_settings()?;
        Ok(Instance {
            scheduler: Scheduler::new(scheduler_settings, seed, now),
            class_names: class_names(settings),
            plan_names: plan_names(settings),
            zones: ZoneTable::new(&settings.zones),
            nodes: NodeTable::default(),
            requests: RequestTable::default(),
        })
    }

    /// Passes the events to the scheduler and returns the resulting actions as messages.
    pub fn handle(&mut self, now: Micros, events: &[Event]) -> Vec<ActionMessage> {
        let mut actions = Vec::new();
        self.scheduler.handle(now, events, &mut actions);
        let mut messages = Vec::new();
        for action in &actions {
            if let Some(message) = self.encode_action(action, now) {
                messages.push(message);
            }
        }
        self.requests.remove_finished();
        messages
    }
}

/// Returns the names of the classes, in the order of the settings.
fn class_names(settings: &DeploymentSettings) -> Vec<ClassName> {
    settings
        .classes
        .iter()
        .map(|class| ClassName(class.name.clone()))
        .collect()
}

/// Returns the names of the plans, in the order of the settings.
fn plan_names(settings: &DeploymentSettings) -> Vec<PlanName> {
    settings
        .plans
        .iter()
        .map(|plan| PlanName(plan.name.clone()))
        .collect()
}
