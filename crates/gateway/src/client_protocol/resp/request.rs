//! Validation of the arguments of an `IO.IN` or `IO.OUT` command, and construction of its request.

use super::names::RequestNames;
use super::terms::RequestTerms;
use crate::hex_id::HexId;
use crate::storage_request::{Operation, RequestParameters, StorageRequest};
use io_scheduler::{ClassIndex, ObjectKey, PlanIndex, Shard, VolumeId};

/// Longest client request id in bytes.
const MAX_REQUEST_ID_LENGTH: usize = 64;
/// Index of the object's id in the arguments of a command; the name of the command has index 0.
const OBJECT_ARGUMENT: usize = 1;
/// Index of the client request id.
const REQUEST_ID_ARGUMENT: usize = 2;
/// Index of the list of terms.
const TERMS_ARGUMENT: usize = 3;
/// Index of the body of a write.
const BODY_ARGUMENT: usize = 4;

/// Why a request is invalid. The text is sent to the client.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub(super) enum RequestError {
    /// An argument other than the body is not text.
    #[error("not UTF-8")]
    NotUtf8,
    /// The object is not 16 hex digits.
    #[error("the piece of data is not 16 hex digits")]
    InvalidObject,
    /// The client request id is empty, too long or not made of visible ASCII characters only.
    #[error("the id is missing or no word")]
    InvalidRequestId,
    /// A term has no `=`.
    #[error("'{0}' has no value")]
    TermWithoutValue(String),
    /// A term's value is not valid for its name.
    #[error("'{value}' is no value for {name}")]
    InvalidTermValue {
        /// The term's name.
        name: String,
        /// The value as sent.
        value: String,
    },
    /// Two terms have the same name. As the terms are forwarded, the node might use the other one.
    #[error("{0} stands twice")]
    DuplicateTerm(String),
    /// `c` is missing or names no class.
    #[error("c names no class of the settings")]
    UnknownClass,
    /// `t` is missing or names no plan.
    #[error("t names no plan of the settings")]
    UnknownPlan,
    /// `volume` is missing.
    #[error("volume is missing")]
    MissingVolume,
    /// `shard` is missing.
    #[error("shard is missing")]
    MissingShard,
    /// `d` is missing.
    #[error("d is missing")]
    MissingWait,
    /// The class writes and the command reads, or the reverse.
    #[error("requests of class {0} are not asked for this way")]
    WrongCommand(String),
}

/// Builds the request of a command. Its arguments are the name of the command, the object's id, the client
/// request id, the terms and, for a write, the body.
pub(super) fn build_request(
    names: &RequestNames,
    operation: Operation,
    arguments: &[&[u8]],
) -> Result<StorageRequest, RequestError> {
    let object_text = text_argument(arguments, OBJECT_ARGUMENT)?;
    let client_request_id = text_argument(arguments, REQUEST_ID_ARGUMENT)?;
    let terms_text = text_argument(arguments, TERMS_ARGUMENT)?;
    let HexId(object) = object_text
        .parse()
        .map_err(|_| RequestError::InvalidObject)?;
    check_request_id(client_request_id)?;

    let terms = RequestTerms::parse(terms_text, names)?;
    let class_index = terms.class.ok_or(RequestError::UnknownClass)?;
    let plan = terms.plan.ok_or(RequestError::UnknownPlan)?;
    let volume = terms.volume.ok_or(RequestError::MissingVolume)?;
    let shard = terms.shard.ok_or(RequestError::MissingShard)?;
    let class = names.class(class_index);
    class.check_operation(operation == Operation::Write)?;
    let wait = terms.wait.ok_or(RequestError::MissingWait)?;

    Ok(StorageRequest {
        operation,
        object: ObjectKey(object),
        object_name: None,
        volume: VolumeId(volume),
        client_request_id: client_request_id.into(),
        class: ClassIndex(class_index),
        plan: PlanIndex(plan),
        units: terms.units,
        shard: shard.number().map(Shard),
        hosts: terms.hosts,
        client_timeout: wait.capped_micros(class.max_wait_ms),
        is_retry: terms.is_retry,
        body: arguments
            .get(BODY_ARGUMENT)
            .map(|body| body.to_vec())
            .unwrap_or_default(),
        parameters: RequestParameters {
            before_timeout: wait.prefix.into(),
            after_timeout: wait.suffix.into(),
        },
    })
}

/// The argument at `index` as text.
fn text_argument<'a>(arguments: &[&'a [u8]], index: usize) -> Result<&'a str, RequestError> {
    let argument = arguments.get(index).ok_or(RequestError::NotUtf8)?;
    std::str::from_utf8(argument).map_err(|_| RequestError::NotUtf8)
}

/// Checks that a client request id consists of visible ASCII characters and has a length from 1 to the limit.
fn check_request_id(id: &str) -> Result<(), RequestError> {
    let valid_length = (1..=MAX_REQUEST_ID_LENGTH).contains(&id.len());
    if valid_length && id.bytes().all(|byte| byte.is_ascii_graphic()) {
        return Ok(());
    }
    Err(RequestError::InvalidRequestId)
}
