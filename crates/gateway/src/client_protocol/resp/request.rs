//! Construction of a request from the arguments of an `IO.IN` or `IO.OUT` command.

use super::names::RequestNames;
use super::terms::RequestTerms;
use crate::dispatcher::{Operation, RequestParameters, StorageRequest};

/// Longest client request id in bytes.
const MAX_REQUEST_ID_LENGTH: usize = 64;

/// Why a request is invalid. The text goes to the client.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub(super) enum RequestError {
    /// An argument other than the body is not text.
    #[error("not UTF-8")]
    NotUtf8,
    /// The object is not 16 hex digits.
    #[error("the piece of data is not 16 hex digits")]
    InvalidObject,
    /// The client request id is empty, too long or contains other than visible ASCII characters.
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
    /// Two terms have the same name; a node might use either.
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
    /// The class writes and the command reads, or the other way round.
    #[error("requests of class {0} are not asked for this way")]
    WrongCommand(String),
}

/// Builds the request of a command. Its arguments are the command's name, the object, the client request id,
/// the terms and, for a write, the body.
pub(super) fn build_request(
    names: &RequestNames,
    operation: Operation,
    arguments: &[&[u8]],
) -> Result<StorageRequest, RequestError> {
    let object_text = text_argument(arguments, 1)?;
    let client_request_id = text_argument(arguments, 2)?;
    let terms_text = text_argument(arguments, 3)?;
    let object = parse_hex(object_text).ok_or(RequestError::InvalidObject)?;
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
        object,
        object_name: None,
        volume,
        client_request_id: client_request_id.into(),
        class: class_index,
        plan,
        units: terms.units,
        shard: shard.number(),
        hosts: terms.hosts,
        client_timeout: wait.capped_micros(class.max_wait_ms),
        is_retry: terms.is_retry,
        body: arguments.get(4).map(|body| body.to_vec()).unwrap_or_default(),
        parameters: RequestParameters {
            before_timeout: wait.prefix.into(),
            after_timeout: wait.suffix.into(),
        },
    })
}

/// The argument at `index` as text; the command's name has index 0.
fn text_argument<'a>(arguments: &[&'a [u8]], index: usize) -> Result<&'a str, RequestError> {
    let argument = arguments.get(index).ok_or(RequestError::NotUtf8)?;
    std::str::from_utf8(argument).map_err(|_| RequestError::NotUtf8)
}

/// The value of 16 hex digits.
pub(super) fn parse_hex(text: &str) -> Option<u64> {
    if text.len() != 16 {
        return None;
    }
    u64::from_str_radix(text, 16).ok()
}

/// Checks a client request id: one word of bounded length.
fn check_request_id(id: &str) -> Result<(), RequestError> {
    let valid_length = (1..=MAX_REQUEST_ID_LENGTH).contains(&id.len());
    if valid_length && id.bytes().all(|byte| byte.is_ascii_graphic()) {
        return Ok(());
    }
    Err(RequestError::InvalidRequestId)
}
