//! Decoding of node replies.
//!
//! A reply is an error line, or an array of three elements: the value, the usage report and the
//! load report. Unexpected content in a report does not make the reply invalid.

use super::reader::{ReadError, ReplyReader, RespValue, MAX_LENGTH_LINE_BYTES};
use super::usage_report::UsageReport;
use crate::node_protocol::ProtocolError;
use crate::number_text::parse_decimal;
use crate::resp_wire_names::{BUSY_ERROR, FAILED_ERROR};
use crate::storage_request::{AttemptResult, ResponseBody};
use io_scheduler::Outcome;

/// Maximum size of each report in bytes.
pub(super) const MAX_REPORT_BYTES: usize = 4 << 10;
/// First line of a reply that contains a value.
const SERVED_LINE: &[u8] = b"*3";
/// First bytes of a reply that contains a value, up to the declared length of the value.
const SERVED_PREFIX: &[u8] = b"*3\r\n$";

/// Line of the reply to a barrier.
const BARRIER_LINE: &[u8] = b"+OK";
/// The reply to a barrier.
pub(super) const BARRIER_REPLY: &[u8] = b"+OK\r\n";

/// A complete reply.
pub(super) struct Reply {
    /// What the reply says.
    pub(super) content: ReplyContent,
    /// Length of the reply in bytes.
    pub(super) length: usize,
}

/// The content of a reply.
pub(super) enum ReplyContent {
    /// The result of a request.
    Result(AttemptResult),
    /// The reply to a barrier, which has no content.
    Barrier,
}

/// Decodes the reply at the front of `input`, whose value may have up to `max_value_length` bytes.
/// Returns `None` if the reply is incomplete.
pub(super) fn parse_reply(
    input: &[u8],
    max_value_length: usize,
) -> Result<Option<Reply>, ProtocolError> {
    let mut reader = ReplyReader::new(input);
    match read_content(&mut reader, max_value_length) {
        Ok(content) => Ok(Some(Reply {
            content,
            length: reader.position(),
        })),
        Err(ReadError::Incomplete) => Ok(None),
        Err(ReadError::Invalid(error)) => Err(error),
    }
}

/// Reads a reply.
fn read_content(
    reader: &mut ReplyReader<'_>,
    max_value_length: usize,
) -> Result<ReplyContent, ReadError> {
    match reader.read_line()? {
        [b'-', text @ ..] => Ok(ReplyContent::Result(error_result(text)?)),
        SERVED_LINE => read_served_result(reader, max_value_length).map(ReplyContent::Result),
        BARRIER_LINE => Ok(ReplyContent::Barrier),
        _ => Err(ProtocolError::UnexpectedType.into()),
    }
}

/// Reads the three elements of a reply that contains a value: the value, the usage report and the
/// load report.
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

/// Returns the result for an error line, given without its leading `-`. The error [`BUSY_ERROR`]
/// means that the node is overloaded; [`FAILED_ERROR`] may contain a usage report. Any other line
/// is not the reply to a request.
fn error_result(text: &[u8]) -> Result<AttemptResult, ProtocolError> {
    let error_name = text.split(|byte| *byte == b' ').next().unwrap_or_default();
    if error_name == BUSY_ERROR.as_bytes() {
        return Ok(AttemptResult::without_body(Outcome::Overloaded));
    }
    if error_name == FAILED_ERROR.as_bytes() {
        return Ok(UsageReport::parse(text).into_result(Outcome::Error, None));
    }
    Err(ProtocolError::UnknownError)
}

/// Returns the declared length in bytes of a value that is not complete yet, or zero if it is not
/// known.
pub(super) fn declared_value_length(input: &[u8]) -> usize {
    let text = input.strip_prefix(SERVED_PREFIX).unwrap_or_default();
    let end = text
        .iter()
        .take(MAX_LENGTH_LINE_BYTES)
        .position(|byte| *byte == b'\r')
        .unwrap_or(0);
    let length = parse_decimal(&text[..end]);
    length
        .and_then(|length| usize::try_from(length).ok())
        .unwrap_or(0)
}
