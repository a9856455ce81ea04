//! What a valid request may state according to the settings: names of classes and plans, and
//! bounds on numbers.

use super::error::RequestError;
use crate::storage_request::Operation;
use deployment_settings::{ClassSettings, DeploymentSettings, DomainSettings};
use io_scheduler::{ClassIndex, PlanIndex, Units};
use std::rc::Rc;

/// Longest timeout that a client may state if its class has no deadline, in milliseconds.
const DEFAULT_MAX_TIMEOUT_MS: f64 = 600_000.0;
/// Largest size of a request if the settings state none.
const DEFAULT_MAX_UNITS: Units = Units(1e6);

/// The names that RESP requests may refer to, and the bounds on their values. All connections
/// share it.
pub struct RequestSchema {
    /// Classes, in the order of the settings.
    classes: Vec<RequestClass>,
    /// Names of the plans, in the order of the settings.
    plans: Vec<String>,
    /// Largest size of one request; larger values are reduced to it.
    pub(super) max_units: Units,
    /// Largest number of gateways for a volume; larger values are reduced to it.
    pub(super) max_hosts: f64,
}

/// A class of requests.
pub(super) struct RequestClass {
    /// The name in the settings.
    name: String,
    /// The only operation that requests of the class may have; `None` if the settings do not state
    /// it.
    operation: Option<Operation>,
    /// Longest timeout that a request of the class may have, in milliseconds: the class's
    /// deadline.
    pub(super) max_timeout_ms: f64,
}

impl RequestSchema {
    /// Collects the names and bounds from the settings.
    #[must_use]
    pub fn new(settings: &DeploymentSettings) -> Rc<RequestSchema> {
        let mut classes = Vec::with_capacity(settings.classes.len());
        for (index, class) in settings.classes.iter().enumerate() {
            let writes = settings.storage.writes.get(index).copied();
            classes.push(RequestClass::new(class, writes));
        }
        let plans = settings.plans.iter().map(|plan| plan.name.clone());
        Rc::new(RequestSchema {
            classes,
            plans: plans.collect(),
            max_units: max_units(&settings.storage),
            max_hosts: f64::from(settings.gateway_count.max(1)),
        })
    }

    /// The index of a class by its name.
    pub(super) fn class_index(&self, name: &str) -> Option<ClassIndex> {
        let index = self.classes.iter().position(|class| class.name == name)?;
        Some(ClassIndex(index))
    }

    /// The class at an index that [`Self::class_index`] returned.
    pub(super) fn class(&self, index: ClassIndex) -> &RequestClass {
        &self.classes[index.0]
    }

    /// The index of a plan by its name.
    pub(super) fn plan_index(&self, name: &str) -> Option<PlanIndex> {
        let index = self.plans.iter().position(|plan| plan == name)?;
        Some(PlanIndex(index))
    }
}

/// Largest size of one request. A request with an excessive size would be charged to its
/// volume, which would get no further service for a long time.
fn max_units(storage: &DomainSettings) -> Units {
    if storage.max_units > 0.0 {
        Units(storage.max_units)
    } else {
        DEFAULT_MAX_UNITS
    }
}

impl RequestClass {
    /// The class of the settings; `writes` states whether its requests write, if that is known.
    fn new(class: &ClassSettings, writes: Option<bool>) -> RequestClass {
        let operation = writes.map(|writes| {
            if writes {
                Operation::Write
            } else {
                Operation::Read
            }
        });
        let max_timeout_ms = if class.deadline_ms > 0.0 {
            class.deadline_ms
        } else {
            DEFAULT_MAX_TIMEOUT_MS
        };
        RequestClass {
            name: class.name.clone(),
            operation,
            max_timeout_ms,
        }
    }

    /// Checks that requests of the class may have this operation. Whether a request is retried
    /// depends on its class, so a write under the class of a read could be executed twice.
    pub(super) fn check_operation(&self, operation: Operation) -> Result<(), RequestError> {
        match self.operation {
            Some(expected) if expected != operation => {
                Err(RequestError::WrongOperation(self.name.clone()))
            }
            _ => Ok(()),
        }
    }
}
