//! One simulated gateway: its scheduler, and the tables between names on the wire and ids of the scheduler.

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

/// Names of the load report's values that count the requests waiting or in progress at a node.
const LOAD_VALUE_NAMES: [&str; 3] = ["queue", "pending", "busy_reqs"];

/// One simulated gateway.
pub struct Instance {
    scheduler: Scheduler,
    /// Names of the classes; a class's index is its id.
    class_names: Vec<String>,
    /// Names of the plans; a plan's index is its id.
    plan_names: Vec<String>,
    zones: NameTable,
    nodes: NameTable,
    /// Index of the load report's value that counts the requests waiting or in progress.
    load_value: Option<usize>,
    requests: RequestTable,
}

impl Instance {
    /// Starts a gateway.
    ///
    /// # Errors
    ///
    /// If the settings cannot be converted for the scheduler.
    pub fn new(seed: u64, settings: &DeploymentSettings, now: Micros) -> Result<Self, EventError> {
        let value_names = &settings.load_report.value_names;
        Ok(Instance {
            scheduler: Scheduler::new(settings.to_scheduler_settings()?, seed, now),
            class_names: settings.classes.iter().map(|class| class.name.clone()).collect(),
            plan_names: settings.plans.iter().map(|plan| plan.name.clone()).collect(),
            zones: NameTable::from_names(&settings.zones),
            nodes: NameTable::default(),
            load_value: value_names.iter().position(|name| LOAD_VALUE_NAMES.contains(&name.as_str())),
            requests: RequestTable::default(),
        })
    }

    /// Hands the scheduler the events and returns its actions.
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
