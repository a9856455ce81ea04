//! The names that requests may refer to and the bounds on their values, taken from the settings.

use super::request::RequestError;
use deployment_settings::{ClassSettings, DeploymentSettings};
use std::rc::Rc;

/// Longest waiting time that a client may state if its class has no deadline, in milliseconds.
const MAX_WAIT_MS: f64 = 600_000.0;
/// Largest size of a request in units if the settings state none.
const DEFAULT_MAX_UNITS: f64 = 1e6;

/// The names that RESP requests may refer to, and the bounds on their values. All connections share it.
pub struct RequestNames {
    /// Classes, in the order of the settings.
    classes: Vec<RequestClass>,
    /// Names of the plans, in the order of the settings.
    plans: Vec<String>,
    /// Largest size of one request in units; larger values are reduced to it.
    pub(super) max_units: f64,
    /// Largest value of the term `hosts`, a number of gateways; larger values are reduced to it.
    pub(super) max_hosts: f64,
}

/// A class of requests.
pub(super) struct RequestClass {
    /// The name in the settings.
    pub(super) name: String,
    /// Whether requests of the class write; `None` if the settings do not state it.
    pub(super) writes: Option<bool>,
    /// Longest waiting time that a request of the class may have, in milliseconds: the class's deadline.
    pub(super) max_wait_ms: f64,
}

impl RequestNames {
    /// Collects the names and bounds from the settings.
    #[must_use]
    pub fn new(settings: &DeploymentSettings) -> Rc<RequestNames> {
        let storage = &settings.storage;
        let class = |(index, class): (usize, &ClassSettings)| RequestClass {
            name: class.name.clone(),
            writes: storage.writes.get(index).copied(),
            max_wait_ms: if class.deadline_ms > 0.0 {
                class.deadline_ms
            } else {
                MAX_WAIT_MS
            },
        };
        Rc::new(RequestNames {
            classes: settings.classes.iter().enumerate().map(class).collect(),
            plans: settings
                .plans
                .iter()
                .map(|plan| plan.name.clone())
                .collect(),
            // A request with an excessive size would be charged to its volume, which would get no further
            // service for a long time.
            max_units: if storage.max_units > 0.0 {
                storage.max_units
            } else {
                DEFAULT_MAX_UNITS
            },
            max_hosts: f64::from(settings.gateway_count.max(1)),
        })
    }

    /// The index of a class by its name.
    pub(super) fn class_index(&self, name: &str) -> Option<usize> {
        self.classes.iter().position(|class| class.name == name)
    }

    /// The class at an index that [`Self::class_index`] returned.
    pub(super) fn class(&self, index: usize) -> &RequestClass {
        &self.classes[index]
    }

    /// The index of a plan by its name.
    pub(super) fn plan_index(&self, name: &str) -> Option<usize> {
        self.plans.iter().position(|plan| plan == name)
    }
}

impl RequestClass {
    /// Checks that the class fits a command that writes, or that reads if `is_write` is false. Whether a request is
    /// retried depends on its class, so a write under the class of a read could be executed twice.
    pub(super) fn check_operation(&self, is_write: bool) -> Result<(), RequestError> {
        match self.writes {
            Some(writes) if writes != is_write => {
                Err(RequestError::WrongCommand(self.name.clone()))
            }
            _ => Ok(()),
        }
    }
}
