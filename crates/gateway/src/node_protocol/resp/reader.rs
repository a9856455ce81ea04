//! Reader for RESP2 values. The syntax is checked as bytes arrive, so that an invalid reply is
//! detected immediately instead of when the request times out.

use crate::node_protocol::ProtocolError;
use crate::number_text::parse_resp_length;
use crate::resp_bulk_string::{read_bulk_content, MissingTerminator};

/// Maximum length of a length line, such as `*3` or `$5`, in bytes.
pub(super) const MAX_LENGTH_LINE_BYTES: usize = 24;
/// Maximum length of a line of another type, such as an error, in bytes.
const MAX_LINE_BYTES: usize = 4 << 10;
/// Maximum nesting depth of arrays, which bounds the recursion.
const MAX_ARRAY_DEPTH: u8 = 3;
/// Maximum number of elements of an array.
const MAX_ARRAY_ELEMENTS: i64 = 8;
/// Declared length of the null bulk string and of the null array.
const NULL_LENGTH: i64 = -1;
/// Terminates each line.
const LINE_END: &[u8] = b"\r\n";

/// The reason why a value cannot be read.
pub(super) enum ReadError {
    /// The input ends before the value does.
    Incomplete,
    /// The value is invalid, and further input cannot change that.
    Invalid(ProtocolError),
}

impl From<ProtocolError> for ReadError {
    fn from(error: ProtocolError) -> Self {
        ReadError::Invalid(error)
    }
}

impl From<MissingTerminator> for ReadError {
    fn from(error: MissingTerminator) -> Self {
        ReadError::Invalid(error.into())
    }
}

/// A decoded RESP value. Only the content of bulk strings is kept, because replies need nothing
/// else.
pub(super) enum RespValue<'a> {
    /// A bulk string, or the null bulk string.
    BulkString(Option<&'a [u8]>),
    /// A simple string, an error, an integer or an array; its content is not used.
    Other,
}

/// Reads the lines and values of a reply.
pub(super) struct ReplyReader<'a> {
    /// Received bytes that have not been consumed.
    input: &'a [u8],
    /// Number of bytes of `input` that have been read.
    position: usize,
}

impl<'a> ReplyReader<'a> {
    /// Creates a reader at the start of `input`.
    pub(super) fn new(input: &'a [u8]) -> ReplyReader<'a> {
        ReplyReader { input, position: 0 }
    }

    /// Returns the number of bytes that have been read.
    pub(super) fn position(&self) -> usize {
        self.position
    }

    /// Reads a line and returns it without CRLF. Returns an error for an incomplete line that
    /// cannot become valid, because waiting for the rest would use up the time of the request.
    pub(super) fn read_line(&mut self) -> Result<&'a [u8], ReadError> {
        let rest = &self.input[self.position..];
        let max_length = match rest.first() {
            None => return Err(ReadError::Incomplete),
            Some(b'$' | b'*') => MAX_LENGTH_LINE_BYTES,
            Some(b'-' | b'+' | b':') => MAX_LINE_BYTES,
            Some(_) => return Err(ProtocolError::UnexpectedType.into()),
        };
        let mut byte_pairs = rest.windows(LINE_END.len()).take(max_length);
        let Some(length) = byte_pairs.position(|pair| pair == LINE_END) else {
            return Err(if rest.len() > max_length {
                ProtocolError::LineTooLong.into()
            } else {
                ReadError::Incomplete
            });
        };
        self.position += length + LINE_END.len();
        Ok(&rest[..length])
    }

    /// Reads one value. Its bulk strings may have up to `max_length` bytes.
    pub(super) fn read_value(&mut self, max_length: usize) -> Result<RespValue<'a>, ReadError> {
        self.read_nested_value(max_length, 0)
    }

    /// Reads one value that is nested in `depth` arrays.
    fn read_nested_value(
        &mut self,
        max_length: usize,
        depth: u8,
    ) -> Result<RespValue<'a>, ReadError> {
        match self.read_line()? {
            [b'-' | b'+' | b':', ..] => Ok(RespValue::Other),
            [b'$', text @ ..] => self.read_bulk_string(parse_length(text)?, max_length),
            [b'*', text @ ..] => self.read_array(parse_length(text)?, max_length, depth),
            _ => Err(ProtocolError::UnexpectedType.into()),
        }
    }

    /// Reads the content of a bulk string of the declared `length`.
    fn read_bulk_string(
        &mut self,
        length: i64,
        max_length: usize,
    ) -> Result<RespValue<'a>, ReadError> {
        if length == NULL_LENGTH {
            return Ok(RespValue::BulkString(None));
        }
        if !(0..=max_length as i64).contains(&length) {
            return Err(ProtocolError::InvalidLength.into());
        }
        let content = read_bulk_content(self.input, &mut self.position, length as usize)?;
        match content {
            Some(content) => Ok(RespValue::BulkString(Some(content))),
            None => Err(ReadError::Incomplete),
        }
    }

    /// Reads the elements of an array of the declared `length`.
    fn read_array(
        &mut self,
        length: i64,
        max_length: usize,
        depth: u8,
    ) -> Result<RespValue<'a>, ReadError> {
        if length == NULL_LENGTH {
            return Ok(RespValue::Other);
        }
        if !(0..=MAX_ARRAY_ELEMENTS).contains(&length) {
            return Err(ProtocolError::InvalidLength.into());
        }
        if depth >= MAX_ARRAY_DEPTH {
            return Err(ProtocolError::NestedTooDeeply.into());
        }
        for _ in 0..length {
            self.read_nested_value(max_length, depth + 1)?;
        }
        Ok(RespValue::Other)
    }
}

/// Parses the number in a length line, given without its leading `$` or `*`.
fn parse_length(text: &[u8]) -> Result<i64, ProtocolError> {
    parse_resp_length(text).ok_or(ProtocolError::InvalidLength)
}
