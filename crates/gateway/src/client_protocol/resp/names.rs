//! The names and bounds that the settings give to requests.

use super::request::RequestError;
use deployment_settings::{ClassSettings, DeploymentSettings};
use std::rc::Rc;

/// Longest wait that a client may state where its class has no deadline, in milliseconds.
const MAX_WAIT_MS: f64 = 600_000.0;
/// Largest number of units of a request where the settings state none.
const DEFAULT_MAX_UNITS: f64 = 1e6;

/// The names and bounds that all RESP requests share, taken from the settings.
pub struct RequestNames {
    classes: Vec<RequestClass>,
    plans: Vec<String>,
    /// Largest number of units of one request.
    pub(super) max_units: f64,
    /// Largest number of gateways that a request may state as `hosts`.
    pub(super) max_hosts: f64,
}

/// A class of requests.
pub(super) struct RequestClass {
    /// The name in the settings.
    pub(super) name: String,
    /// Whether requests of the class write, where the settings state it.
    pub(super) writes: Option<bool>,
    /// Longest wait that a client of the class may state, in milliseconds: the class's deadline.
    pub(super) max_wait_ms: f64,
}

impl RequestNames {
    /// The names of the settings.
    #[must_use]
    pub fn new(settings: &DeploymentSettings) -> Rc<RequestNames> {
        let storage = &settings.storage;
        let class = |(index, class): (usize, &ClassSettings)| RequestClass {
            name: class.name.clone(),
            writes: storage.writes.get(index).copied(),
            max_wait_ms: if class.deadline_ms > 0.0 { class.deadline_ms } else { MAX_WAIT_MS },
        };
        Rc::new(RequestNames {
            classes: settings.classes.iter().enumerate().map(class).collect(),
            plans: settings.plans.iter().map(|plan| plan.name.clone()).collect(),
            // Larger numbers than the settings know would count against a volume for the rest of the day.
            max_units: if storage.max_units > 0.0 { storage.max_units } else { DEFAULT_MAX_UNITS },
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
    /// Checks that requests of the class may be made by a command that writes or reads. Whether a request may
    /// run again follows from its class, so a write under a read's class could be repeated.
    pub(super) fn check_operation(&self, is_write: bool) -> Result<(), RequestError> {
        match self.writes {
            Some(writes) if writes != is_write => Err(RequestError::WrongCommand(self.name.clone())),
            _ => Ok(()),
        }
    }
}
