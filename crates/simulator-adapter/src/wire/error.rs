//! Errors in the content of a line of input.
//!
//! The texts contain the names of messages and fields on the wire, so that they can be found in the
//! line.

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
        /// The decoder's error.
        source: serde_json::Error,
    },
    /// Something other than whitespace follows the batch.
    #[error("unexpected data after the batch: {0}")]
    TrailingData(#[source] serde_json::Error),
}

/// Why an event in a well-formed batch cannot be handled.
#[derive(Debug, Error)]
pub enum EventError {
    /// The instance is not running: it was not started, or it was stopped.
    #[error(
        "dispatcher_id {instance}: event for an instance that is not running; expected ENLIST"
    )]
    NotStarted {
        /// The instance.
        instance: InstanceId,
    },
    /// A setting of the instance has an unknown value.
    #[error("ENLIST: {0}")]
    Settings(#[from] UnknownValue),
    /// The settings define no plan with the name that a request has.
    #[error(
        "INCOMING {request}: field qos_class: unknown plan '{plan}'; expected one of info.plans"
    )]
    UnknownPlan {
        /// The request.
        request: RequestName,
        /// Name of the unknown plan.
        plan: PlanName,
    },
    /// The settings define no class with the name that a request has.
    #[error(
        "INCOMING {request}: field lane: unknown class '{class}'; expected one of info.classes"
    )]
    UnknownClass {
        /// The request.
        request: RequestName,
        /// Name of the unknown class.
        class: ClassName,
    },
    /// The status code of an attempt is not one of the constants of [`StatusCode`], which the text
    /// lists.
    #[error(
        "OUTCOME {request}: field status: unknown status code {status}; expected 200, 408, 409, \
         429, 444, 502, 520 or 521"
    )]
    UnknownStatus {
        /// The request of the attempt.
        request: RequestName,
        /// The unknown status code.
        status: StatusCode,
    },
}
