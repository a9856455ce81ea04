//! Decoding of a node's reply.
//!
//! A reply is an error line, or an array of three elements: the value, the usage report and the
//! load report. A usage or load report with unexpected content does not make the reply invalid.

use super::reader::{ReadError, ReplyReader, RespValue, MAX_LENGTH_LINE_BYTES};
use super::usage_report::UsageReport;
use crate::node_protocol::ProtocolError;
use crate::resp_wire_names::BUSY_ERROR;
use crate::storage_request::{AttemptResult, ResponseBody};
use io_scheduler::Outcome;

/// Largest size of each report, in bytes.
pub(super) const MAX_REPORT_BYTES: usize = 4 << 10;
/// The length line of a reply with a value.
const SERVED_LINE: &[u8] = b"*3";
/// The bytes of a reply with a value up to the value's length.
const SERVED_PREFIX: &[u8] = b"*3\r\n$";

/// A complete reply.
pub(super) struct Reply {
    /// The result of the request.
    pub(super) result: AttemptResult,
    /// The reply's length in bytes.
    pub(super) length: usize,
}

/// Decodes the reply at the front of `input`, whose value may have up to `max_value_length` bytes.
/// Returns `None` until it is complete.
pub(super) fn parse_reply(
    input: &[u8],
    max_value_length: usize,
) -> Result<Option<Reply>, ProtocolError> {
    let mut reader = ReplyReader::new(input);
    match read_result(&mut reader, max_value_length) {
        Ok(result) => Ok(Some(Reply {
            result,
            length: reader.position(),
        })),
        Err(ReadError::Incomplete) => Ok(None),
        Err(ReadError::Invalid(error)) => Err(error),
    }
}

/// Reads a reply and returns the result that it states.
fn read_result(
    reader: &mut ReplyReader<'_>,
    max_value_length: usize,
) -> Result<AttemptResult, ReadError> {
    match reader.read_line()? {
        [b'-', text @ ..] => Ok(error_result(text)),
        SERVED_LINE => read_served_result(reader, max_value_length),
        _ => Err(ProtocolError::UnexpectedType.into()),
    }
}

/// Reads the three elements of a reply with a value: the value, the usage report and the load
/// report.
fn read_served_result(
    reader: &mut ReplyReader<'_>,
    max_value_length: usize,
) -> Result<AttemptResult, ReadError> {
    let RespValue::BulkString(Some(value)) = reader.read_value(max_value_length)? else {
        return Err(ProtocolError::UnexpectedType.into());
    };
    let usage_report = reader.read_value(MAX_REPORT_BYTES)?;
    let _load_report = reader.read_value(MAX_REPORT_BYTES)?;
    let usage_report = match usage_report {
        RespValue::BulkString(Some(text)) => UsageReport::parse(text),
        RespValue::BulkString(None) | RespValue::Other => UsageReport::default(),
    };
    let body = ResponseBody::Value(value.to_vec());
    Ok(usage_report.into_result(Outcome::Served, Some(body)))
}

/// The result of an error line, given without its leading `-`. One error means that the node is
/// overloaded; any other may contain a usage report.
fn error_result(text: &[u8]) -> AttemptResult {
    let error_name = text.split(|byte| *byte == b' ').next();
    if error_name == Some(BUSY_ERROR.as_bytes()) {
        return AttemptResult::without_body(Outcome::Overloaded);
    }
    UsageReport::parse(text).into_result(Outcome::Error, None)
}

/// The announced length of a value that is not complete yet, in bytes; zero if it is not known.
pub(super) fn announced_value_length(input: &[u8]) -> usize {
    let text = input.strip_prefix(SERVED_PREFIX).unwrap_or_default();
    let end = text
        .iter()
        .take(MAX_LENGTH_LINE_BYTES)
        .position(|byte| *byte == b'\r')
        .unwrap_or(0);
    std::str::from_utf8(&text[..end])
        .ok()
        .and_then(|digits| digits.parse().ok())
        .unwrap_or(0)
}
