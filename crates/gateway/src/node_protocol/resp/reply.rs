//! Decoding of a RESP2 node's reply.
//!
//! A reply is an error line, or an array of the value, the usage report and the load report. Its shape is
//! checked as its bytes arrive, so that an invalid reply is detected at once instead of at the request's
//! deadline. A usage or load report that cannot be read leaves the value valid.

use super::super::ProtocolError;
use crate::dispatcher::{AttemptResult, ResponseBody};
use io_scheduler::Outcome;

/// Bytes of a reply besides its value: the bound on an error line and on each report.
pub(super) const MAX_OVERHEAD_BYTES: usize = 4 << 10;
/// Longest line that announces a length, in bytes.
const MAX_LENGTH_LINE_BYTES: usize = 24;
/// Deepest nesting of arrays; deeper ones are rejected so that the recursion is bounded.
const MAX_ARRAY_DEPTH: u8 = 3;
/// Most elements of one array.
const MAX_ARRAY_ELEMENTS: i64 = 8;
/// Largest accepted utilization, in percent. A larger number is no measurement of a node's and would
/// count against its volume for the rest of the day.
const MAX_UTILIZATION_PERCENT: f64 = 10_000.0;
/// Largest accepted cost of one request, in units, for the same reason.
const MAX_REMOTE_UNITS: f64 = 10_000.0;

/// A complete reply.
pub(super) struct Reply {
    /// The result of the request.
    pub(super) result: AttemptResult,
    /// The reply's length in bytes.
    pub(super) length: usize,
}

/// Decodes the reply at the front of `input`, whose value may have up to `max_value_length` bytes. Returns
/// `None` until it is complete.
pub(super) fn parse_reply(input: &[u8], max_value_length: usize) -> Result<Option<Reply>, ProtocolError> {
    let mut reader = ReplyReader { input, position: 0 };
    let Some(head) = reader.read_line()? else { return Ok(None) };
    let result = match head {
        [b'-', text @ ..] => error_result(text),
        b"*3" => {
            let Some(result) = reader.read_served_result(max_value_length)? else { return Ok(None) };
            result
        }
        _ => return Err(ProtocolError),
    };
    Ok(Some(Reply { result, length: reader.position }))
}

/// The announced length of a value that is not complete yet, in bytes; zero if it is not known.
pub(super) fn announced_value_length(input: &[u8]) -> usize {
    let text = input.strip_prefix(b"*3\r\n$").unwrap_or_default();
    let end = text.iter().take(MAX_LENGTH_LINE_BYTES).position(|byte| *byte == b'\r').unwrap_or(0);
    std::str::from_utf8(&text[..end]).ok().and_then(|digits| digits.parse().ok()).unwrap_or(0)
}

/// The result of an error line, given without its marker: overload is the error `BUSY`; any other may carry a
/// usage report.
fn error_result(text: &[u8]) -> AttemptResult {
    let error_name = text.split(|byte| *byte == b' ').next();
    if error_name == Some(b"BUSY") {
        return AttemptResult::without_body(Outcome::Overloaded);
    }
    let mut result = AttemptResult::without_body(Outcome::Error);
    apply_usage_report(text, &mut result);
    result
}

/// Takes utilization and cost from a usage report such as `used=37,cost=4`. Unknown names and values that
/// cannot be read or are out of range are skipped.
fn apply_usage_report(text: &[u8], result: &mut AttemptResult) {
    let text = String::from_utf8_lossy(text);
    for word in text.split([',', ' ']) {
        let Some((name, value)) = word.split_once('=') else { continue };
        let Ok(value) = value.parse::<f64>() else { continue };
        if !value.is_finite() || value < 0.0 {
            continue;
        }
        match name {
            "used" if value <= MAX_UTILIZATION_PERCENT => result.utilization = Some(value / 100.0),
            "cost" if value <= MAX_REMOTE_UNITS => result.remote_units = value,
            _ => {}
        }
    }
}

/// The number after the marker of a `$` or `*` line.
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
    /// Reads the elements of a reply that carries a value: the value, the usage report, the load report.
    fn read_served_result(
        &mut self,
        max_value_length: usize,
    ) -> Result<Option<AttemptResult>, ProtocolError> {
        let value = match self.read_value(max_value_length, 0)? {
            None => return Ok(None),
            Some(RespValue::BulkString(Some(value))) => value,
            Some(_) => return Err(ProtocolError),
        };
        let Some(usage_report) = self.read_value(MAX_OVERHEAD_BYTES, 0)? else { return Ok(None) };
        let Some(_load_report) = self.read_value(MAX_OVERHEAD_BYTES, 0)? else { return Ok(None) };
        let mut result = AttemptResult::without_body(Outcome::Served);
        if let RespValue::BulkString(Some(text)) = usage_report {
            apply_usage_report(text, &mut result);
        }
        result.body = Some(ResponseBody::Value(value.to_vec()));
        Ok(Some(result))
    }

    /// Reads a line and returns it without its end. A line that cannot become valid is an error by its first
    /// bytes already: waiting for the rest would cost the request its time.
    fn read_line(&mut self) -> Result<Option<&'a [u8]>, ProtocolError> {
        let rest = &self.input[self.position..];
        let max_length = match rest.first() {
            None => return Ok(None),
            Some(b'$' | b'*') => MAX_LENGTH_LINE_BYTES,
            Some(b'-' | b'+' | b':') => MAX_OVERHEAD_BYTES,
            Some(_) => return Err(ProtocolError),
        };
        let Some(end) = rest.windows(2).take(max_length).position(|pair| pair == b"\r\n") else {
            return if rest.len() > max_length { Err(ProtocolError) } else { Ok(None) };
        };
        self.position += end + 2;
        Ok(Some(&rest[..end]))
    }

    /// Reads one value whose bulk strings have at most `max_length` bytes, at nesting `depth`.
    fn read_value(&mut self, max_length: usize, depth: u8) -> Result<Option<RespValue<'a>>, ProtocolError> {
        let Some(line) = self.read_line()? else { return Ok(None) };
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
        let end = self.position + length as usize;
        let Some(terminator) = self.input.get(end..end + 2) else { return Ok(None) };
        if terminator != b"\r\n" {
            return Err(ProtocolError);
        }
        let content = &self.input[self.position..end];
        self.position = end + 2;
        Ok(Some(RespValue::BulkString(Some(content))))
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
