//! Validates the arguments of a read or write command and builds its request.

use super::error::RequestError;
use super::parameters::ParsedParameters;
use super::schema::RequestSchema;
use crate::hex_id::{HexDigits, HexId};
use crate::storage_request::{Operation, RequestParameters, StorageRequest};
use io_scheduler::ObjectKey;

/// Maximum length of a client request id in bytes.
const MAX_REQUEST_ID_LENGTH: usize = 64;

/// The arguments of a read or write command, as sent by the client.
pub(super) struct RequestArguments<'a> {
    /// Id of the object.
    pub(super) object: &'a [u8],
    /// Client request id.
    pub(super) client_request_id: &'a [u8],
    /// Parameter list.
    pub(super) parameters: &'a [u8],
    /// Content to write; empty for a read.
    pub(super) body: &'a [u8],
}

/// The arguments of a command, decoded and checked as far as possible without the settings.
struct DecodedArguments<'a> {
    /// Id of the object.
    object: ObjectKey,
    /// The same id as the client wrote it.
    object_digits: HexDigits,
    /// Client request id, already validated.
    client_request_id: &'a str,
    /// Parameter list, not parsed yet.
    parameters: &'a str,
}

impl<'a> RequestArguments<'a> {
    /// Decodes and checks the arguments other than the body.
    fn decode(&self) -> Result<DecodedArguments<'a>, RequestError> {
        let object = decode_text(self.object)?;
        let client_request_id = decode_text(self.client_request_id)?;
        let parameters = decode_text(self.parameters)?;
        let HexId(id) = object.parse().map_err(|_| RequestError::InvalidObject)?;
        let object_digits = object.parse().map_err(|_| RequestError::InvalidObject)?;
        check_request_id(client_request_id)?;
        Ok(DecodedArguments {
            object: ObjectKey(id),
            object_digits,
            client_request_id,
            parameters,
        })
    }
}

/// Validates the arguments of a command and builds its request.
pub(super) fn build_request(
    schema: &RequestSchema,
    operation: Operation,
    arguments: &RequestArguments<'_>,
) -> Result<StorageRequest, RequestError> {
    let decoded = arguments.decode()?;
    let parameters = ParsedParameters::parse(decoded.parameters, schema)?;
    let class_index = parameters.class.ok_or(RequestError::UnknownClass)?;
    let plan = parameters.plan.ok_or(RequestError::UnknownPlan)?;
    let volume = parameters.volume.ok_or(RequestError::MissingVolume)?;
    let shard = parameters.shard.ok_or(RequestError::MissingShard)?;
    let class = schema.class(class_index);
    class.check_operation(operation)?;
    let timeout = parameters.timeout.ok_or(RequestError::MissingTimeout)?;

    Ok(StorageRequest {
        operation,
        object: decoded.object,
        object_digits: decoded.object_digits,
        object_name: None,
        volume,
        client_request_id: decoded.client_request_id.into(),
        class: class_index,
        plan,
        units: parameters.units,
        shard: shard.assigned_shard(),
        host_count: parameters.host_count,
        client_timeout: timeout.capped_micros(class.max_timeout_ms),
        body: arguments.body.to_vec(),
        parameters: RequestParameters {
            before_timeout: timeout.text_before.into(),
            after_timeout: timeout.text_after.into(),
        },
    })
}

/// Decodes an argument as UTF-8.
fn decode_text(argument: &[u8]) -> Result<&str, RequestError> {
    std::str::from_utf8(argument).map_err(|_| RequestError::NotUtf8)
}

/// Checks that a client request id consists of 1 to [`MAX_REQUEST_ID_LENGTH`] visible ASCII
/// characters.
fn check_request_id(id: &str) -> Result<(), RequestError> {
    let has_valid_length = (1..=MAX_REQUEST_ID_LENGTH).contains(&id.len());
    let is_visible_ascii = id.bytes().all(|byte| byte.is_ascii_graphic());
    if has_valid_length && is_visible_ascii {
        Ok(())
    } else {
        Err(RequestError::InvalidRequestId)
    }
}
