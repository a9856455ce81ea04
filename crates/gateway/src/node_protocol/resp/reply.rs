//! Decoding of a RESP2 node's reply.
//!
//! A reply is an error line, or an array of three elements: the value, the usage report and the load report. Its
//! syntax is checked as its bytes arrive, so that an invalid reply is detected immediately and not only when the
//! request times out. A usage or load report with unexpected content does not make the reply invalid.

use super::super::ProtocolError;
use crate::dispatcher::{AttemptResult, ResponseBody};
use crate::resp_bulk_string::{read_bulk_content, MissingTerminator};
use io_scheduler::Outcome;

/// Largest size of an error line and of each report, in bytes.
pub(super) const MAX_OVERHEAD_BYTES: usize = 4 << 10;
/// Longest length line, such as `*3` or `$5`, in bytes.
const MAX_LENGTH_LINE_BYTES: usize = 24;
/// Deepest accepted nesting of arrays, which bounds the recursion.
const MAX_ARRAY_DEPTH: u8 = 3;
/// Largest number of elements of one array.
const MAX_ARRAY_ELEMENTS: i64 = 8;
/// Largest accepted utilization, in percent. A larger value cannot be a measurement, and would be charged to the
/// volume for a long time.
const MAX_UTILIZATION_PERCENT: f64 = 10_000.0;
/// Largest accepted number of remote units in one reply, for the same reason.
const MAX_REMOTE_UNITS: f64 = 10_000.0;
/// A utilization of 1 as a percentage.
const PERCENT: f64 = 100.0;

impl From<MissingTerminator> for ProtocolError {
    fn from(_: MissingTerminator) -> Self {
        ProtocolError
    }
}

/// A complete reply.
pub(super) struct Reply {
    /// The result of the request.
    pub(super) result: AttemptResult,
    /// The reply's length in bytes.
    pub(super) length: usize,
}

/// Decodes the reply at the front of `input`, whose value may have up to `max_value_length` bytes. Returns
/// `None` until it is complete.
pub(super) fn parse_reply(
    input: &[u8],
    max_value_length: usize,
) -> Result<Option<Reply>, ProtocolError> {
    let mut reader = ReplyReader { input, position: 0 };
    let Some(head) = reader.read_line()? else {
        return Ok(None);
    };
    let result = match head {
        [b'-', text @ ..] => error_result(text),
        b"*3" => {
            let Some(result) = reader.read_served_result(max_value_length)? else {
                return Ok(None);
            };
            result
        }
        _ => return Err(ProtocolError),
    };
    Ok(Some(Reply {
        result,
        length: reader.position,
    }))
}

/// The announced length of a value that is not complete yet, in bytes; zero if it is not known.
pub(super) fn announced_value_length(input: &[u8]) -> usize {
    let text = input.strip_prefix(b"*3\r\n$").unwrap_or_default();
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

/// The result of an error line, given without its leading `-`. The error `BUSY` means that the node is overloaded;
/// any other may contain a usage report.
fn error_result(text: &[u8]) -> AttemptResult {
    let error_name = text.split(|byte| *byte == b' ').next();
    if error_name == Some(b"BUSY") {
        return AttemptResult::without_body(Outcome::Overloaded);
    }
    let mut result = AttemptResult::without_body(Outcome::Error);
    apply_usage_report(text, &mut result);
    result
}

/// Sets the utilization (`used`, in percent) and the remote units (`cost`) from a usage report such as
/// `used=37,cost=4`. Unknown names are skipped, and so are values that are not numbers or out of range.
fn apply_usage_report(text: &[u8], result: &mut AttemptResult) {
    let text = String::from_utf8_lossy(text);
    for word in text.split([',', ' ']) {
        let Some((name, value)) = word.split_once('=') else {
            continue;
        };
        let Ok(value) = value.parse::<f64>() else {
            continue;
        };
        if !value.is_finite() || value < 0.0 {
            continue;
        }
        match name {
            "used" if value <= MAX_UTILIZATION_PERCENT => {
                result.utilization = Some(value / PERCENT);
            }
            "cost" if value <= MAX_REMOTE_UNITS => result.remote_units = value,
            _ => {}
        }
    }
}

/// Parses the number of a length line, given without its leading `$` or `*`.
fn parse_length(text: &[u8]) -> Result<i64, ProtocolError> {
    let text = std::str::from_utf8(text).map_err(|_| ProtocolError)?;
    text.parse().map_err(|_| ProtocolError)
}

/// A decoded RESP value, as far as replies need it.
enum RespValue<'a> {
    /// A bulk string, or the null bulk string.
    BulkString(Option<&'a [u8]>),
    /// A simple string, an error, an integer or an array; its content is not used.
    Other,
}

/// Reads values off a reply. Each method returns `None` if the input ends before the value does.
struct ReplyReader<'a> {
    input: &'a [u8],
    position: usize,
}

impl<'a> ReplyReader<'a> {
    /// Reads the three elements of a reply with a value: the value, the usage report and the load report.
    fn read_served_result(
        &mut self,
        max_value_length: usize,
    ) -> Result<Option<AttemptResult>, ProtocolError> {
        let value = match self.read_value(max_value_length, 0)? {
            None => return Ok(None),
            Some(RespValue::BulkString(Some(value))) => value,
            Some(_) => return Err(ProtocolError),
        };
        let Some(usage_report) = self.read_value(MAX_OVERHEAD_BYTES, 0)? else {
            return Ok(None);
        };
        let Some(_load_report) = self.read_value(MAX_OVERHEAD_BYTES, 0)? else {
            return Ok(None);
        };
        let mut result = AttemptResult::without_body(Outcome::Served);
        if let RespValue::BulkString(Some(text)) = usage_report {
            apply_usage_report(text, &mut result);
        }
        result.body = Some(ResponseBody::Value(value.to_vec()));
        Ok(Some(result))
    }

    /// Reads a line and returns it without its line end. An incomplete line that cannot become valid is an error
    /// already, as waiting for its rest would use up the time of the request.
    fn read_line(&mut self) -> Result<Option<&'a [u8]>, ProtocolError> {
        let rest = &self.input[self.position..];
        let max_length = match rest.first() {
            None => return Ok(None),
            Some(b'$' | b'*') => MAX_LENGTH_LINE_BYTES,
            Some(b'-' | b'+' | b':') => MAX_OVERHEAD_BYTES,
            Some(_) => return Err(ProtocolError),
        };
        let Some(end) = rest
            .windows(2)
            .take(max_length)
            .position(|pair| pair == b"\r\n")
        else {
            return if rest.len() > max_length {
                Err(ProtocolError)
            } else {
                Ok(None)
            };
        };
        self.position += end + 2;
        Ok(Some(&rest[..end]))
    }

    /// Reads one value whose bulk strings have at most `max_length` bytes, at nesting `depth`.
    fn read_value(
        &mut self,
        max_length: usize,
        depth: u8,
    ) -> Result<Option<RespValue<'a>>, ProtocolError> {
        let Some(line) = self.read_line()? else {
            return Ok(None);
        };
        match line {
            [b'-' | b'+' | b':', ..] => Ok(Some(RespValue::Other)),
            [b'$', text @ ..] => self.read_bulk_string(parse_length(text)?, max_length),
            [b'*', text @ ..] => self.read_array(parse_length(text)?, max_length, depth),
            _ => Err(ProtocolError),
        }
    }

    /// Reads the content of a bulk string of an announced length; -1 announces the null bulk string.
    fn read_bulk_string(
        &mut self,
        length: i64,
        max_length: usize,
    ) -> Result<Option<RespValue<'a>>, ProtocolError> {
        if length == -1 {
            return Ok(Some(RespValue::BulkString(None)));
        }
        if !(0..=max_length as i64).contains(&length) {
            return Err(ProtocolError);
        }
        let content = read_bulk_content(self.input, &mut self.position, length as usize)?;
        Ok(content.map(|content| RespValue::BulkString(Some(content))))
    }

    /// Reads the elements of an array of an announced length; -1 announces the null array.
    fn read_array(
        &mut self,
        length: i64,
        max_length: usize,
        depth: u8,
    ) -> Result<Option<RespValue<'a>>, ProtocolError> {
        if length == -1 {
            return Ok(Some(RespValue::Other));
        }
        if !(0..=MAX_ARRAY_ELEMENTS).contains(&length) || depth >= MAX_ARRAY_DEPTH {
            return Err(ProtocolError);
        }
        for _ in 0..length {
            if self.read_value(max_length, depth + 1)?.is_none() {
                return Ok(None);
            }
        }
        Ok(Some(RespValue::Other))
    }
}
