//! Decodes RESP2 from a stream.

use std::time::Duration;

/// A decoded value.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Value {
    /// A simple string, an error or an integer, with the character that begins it.
    Line(String),
    /// A bulk string; `None` for null.
    Bulk(Option<String>),
    /// An array.
    Array(Vec<Value>),
}

/// The end of a complete value in a buffer, and the value.
type Decoded = Option<(Value, usize)>;

/// Decodes the value that starts at `position`; `None` if it is incomplete or malformed.
pub(super) fn decode(input: &[u8], position: usize) -> Decoded {
    let line_length = input[position..]
        .windows(2)
        .position(|bytes| bytes == b"\r\n")?;
    let line = String::from_utf8_lossy(&input[position..position + line_length]).into_owned();
    let after_line = position + line_length + 2;
    match line.as_bytes().first() {
        Some(b'$') => decode_bulk(input, after_line, line[1..].parse().ok()?),
        Some(b'*') => decode_array(input, after_line, line[1..].parse().ok()?),
        _ => Some((Value::Line(line), after_line)),
    }
}

/// Decodes the content of a bulk string.
fn decode_bulk(input: &[u8], position: usize, length: i64) -> Decoded {
    let Ok(length) = usize::try_from(length) else {
        return Some((Value::Bulk(None), position));
    };
    let content = input.get(position..position + length)?;
    let end = position + length + 2;
    if input.len() < end {
        return None;
    }
    let content = String::from_utf8_lossy(content).into_owned();
    Some((Value::Bulk(Some(content)), end))
}

/// Decodes the items of an array.
fn decode_array(input: &[u8], mut position: usize, length: usize) -> Decoded {
    let mut items = Vec::new();
    for _ in 0..length {
        let (item, end) = decode(input, position)?;
        items.push(item);
        position = end;
    }
    Some((Value::Array(items), position))
}

/// A decoder of a stream, with the time of the first byte of the next value.
#[derive(Debug, Default)]
pub(super) struct StreamDecoder {
    /// The input that is not decoded yet.
    input: Vec<u8>,
    /// When the first byte of `input` arrived.
    first_byte_at: Option<Duration>,
}

impl StreamDecoder {
    /// Adds bytes that arrived at the time `now`.
    pub(super) fn feed(&mut self, bytes: &[u8], now: Duration) {
        self.first_byte_at.get_or_insert(now);
        self.input.extend_from_slice(bytes);
    }

    /// Removes the next complete value, and returns it with the time of its first byte.
    pub(super) fn next(&mut self) -> Option<(Value, Duration)> {
        let (value, end) = decode(&self.input, 0)?;
        self.input.drain(..end);
        let first_byte_at = self.first_byte_at?;
        if self.input.is_empty() {
            self.first_byte_at = None;
        }
        Some((value, first_byte_at))
    }
}
