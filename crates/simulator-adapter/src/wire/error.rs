//! What can be wrong with a line of input.
//!
//! The texts name messages and fields as they are on the wire, since their reader looks for them in
//! that line.

use super::{ClassName, InstanceId, PlanName, RequestName, StatusCode};
use deployment_settings::UnknownValue;
use thiserror::Error;

/// Why a line of input is not a valid batch of events.
#[derive(Debug, Error)]
pub enum ParseError {
    /// The line is not JSON, or a field is missing or of the wrong type.
    #[error("field {path}: {source}")]
    Field {
        /// Path of the field within the batch.
        path: String,
        /// The cause.
        source: serde_json::Error,
    },
    /// Something follows the batch.
    #[error("after the batch: {0}")]
    TrailingData(#[source] serde_json::Error),
}

/// Why an event of a valid batch cannot be handled.
#[derive(Debug, Error)]
pub enum EventError {
    /// The instance has not been started, or has stopped.
    #[error("dispatcher_id {instance}: event before ENLIST")]
    NotStarted {
        /// The instance.
        instance: InstanceId,
    },
    /// The settings of an instance have a value that is not known.
    #[error("ENLIST: {0}")]
    Settings(#[from] UnknownValue),
    /// The settings do not have the plan of a request.
    #[error("INCOMING {request}: field qos_class: '{plan}' is not in the settings")]
    UnknownPlan {
        /// The request.
        request: RequestName,
        /// The unknown plan.
        plan: PlanName,
    },
    /// The settings do not have the class of a request.
    #[error("INCOMING {request}: field lane: '{class}' is not in the settings")]
    UnknownClass {
        /// The request.
        request: RequestName,
        /// The unknown class.
        class: ClassName,
    },
    /// The status of an attempt is not one of the simulator's.
    #[error("OUTCOME {request}: field status: {status} is not an outcome")]
    UnknownStatus {
        /// The request of the attempt.
        request: RequestName,
        /// The unknown status.
        status: StatusCode,
    },
}
