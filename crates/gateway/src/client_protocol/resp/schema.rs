//! Class names, plan names and limits from the settings, against which requests are validated.

use super::error::RequestError;
use crate::storage_request::Operation;
use deployment_settings::{ClassSettings, DeploymentSettings, DomainSettings};
use io_scheduler::{ClassIndex, PlanIndex, Units};
use std::rc::Rc;

/// Maximum client timeout of a request whose class has no deadline, in milliseconds.
const DEFAULT_MAX_TIMEOUT_MS: f64 = 600_000.0;
/// Maximum size of a request if the settings do not define one.
const DEFAULT_MAX_UNITS: Units = Units(1e6);

/// The class and plan names that RESP requests may use, and the limits on their values. Shared by
/// all connections.
pub struct RequestSchema {
    /// Classes, in the order of the settings.
    classes: Vec<RequestClass>,
    /// Names of the plans, in the order of the settings.
    plans: Vec<String>,
    /// Maximum size of one request; larger values are reduced to it.
    pub(super) max_units: Units,
    /// Maximum number of gateways that receive requests for a volume; larger values are reduced to
    /// it.
    pub(super) max_host_count: f64,
}

/// A request class.
pub(super) struct RequestClass {
    /// Name of the class in the settings.
    name: String,
    /// The operation that all requests of the class must have; `None` if the settings do not define
    /// it.
    operation: Option<Operation>,
    /// Maximum timeout of a request of the class, in milliseconds: the class's deadline, or
    /// [`DEFAULT_MAX_TIMEOUT_MS`] if it has none.
    pub(super) max_timeout_ms: f64,
}

impl RequestSchema {
    /// Creates the schema from the settings.
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
            max_host_count: f64::from(settings.gateway_count.max(1)),
        })
    }

    /// Returns the index of the class with this name.
    pub(super) fn class_index(&self, name: &str) -> Option<ClassIndex> {
        let index = self.classes.iter().position(|class| class.name == name)?;
        Some(ClassIndex(index))
    }

    /// Returns the class at an index that [`Self::class_index`] returned.
    pub(super) fn class(&self, index: ClassIndex) -> &RequestClass {
        &self.classes[index.0]
    }

    /// Returns the index of the plan with this name.
    pub(super) fn plan_index(&self, name: &str) -> Option<PlanIndex> {
        let index = self.plans.iter().position(|plan| plan == name)?;
        Some(PlanIndex(index))
    }
}

/// Returns the maximum size of one request. Without a maximum, a request with an excessive size
/// would move the tags of its volume far ahead, and the volume would not be served again for a long
/// time.
fn max_units(storage: &DomainSettings) -> Units {
    if storage.max_units > 0.0 {
        Units(storage.max_units)
    } else {
        DEFAULT_MAX_UNITS
    }
}

impl RequestClass {
    /// Creates the class from its settings. `writes` states whether its requests write; it is
    /// `None` if the settings do not define this.
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

    /// Checks that requests of the class may have this operation. The class determines whether a
    /// request is retried, so a write in a class for reads could be executed twice.
    pub(super) fn check_operation(&self, operation: Operation) -> Result<(), RequestError> {
        match self.operation {
            Some(expected) if expected != operation => {
                Err(RequestError::WrongOperation(self.name.clone()))
            }
            _ => Ok(()),
        }
    }
}
