//! Parsing of RESP2 commands: arrays of bulk strings.

use crate::config::MAX_VALUE_BYTES;

/// Most arguments in one command, with its name.
const MAX_ARGUMENTS: usize = 64;
/// Longest line that announces a length, in bytes.
const MAX_LENGTH_LINE_BYTES: usize = 64;
/// Bytes of a command's arguments together; it bounds a connection's input buffer.
pub const MAX_COMMAND_BYTES: usize = MAX_VALUE_BYTES + (8 << 10);

/// Why the input is not a command. The text goes to the client.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub(super) enum RespSyntaxError {
    /// The array announces a negative number of arguments, or too many.
    #[error("invalid multibulk length")]
    InvalidArrayLength,
    /// A bulk string announces a negative length.
    #[error("invalid bulk length")]
    InvalidBulkLength,
    /// The arguments together exceed [`MAX_COMMAND_BYTES`].
    #[error("command too large")]
    CommandTooLarge,
    /// A bulk string does not end where it announced.
    #[error("expected the end of a bulk string")]
    MissingBulkEnd,
    /// The input is of another RESP type.
    #[error("expected an array of bulk strings")]
    UnexpectedType,
    /// A line that announces a length has no end within its bound.
    #[error("line too long")]
    LineTooLong,
    /// A line ends in LF alone.
    #[error("expected CR LF")]
    MissingCarriageReturn,
    /// An announced length is not a number.
    #[error("invalid number")]
    InvalidNumber,
}

/// Parses the command of `input` that starts at `position` into its arguments, its name first. Moves `position`
/// past it; returns `None`, with `position` unchanged, until the command is complete.
pub(super) fn parse_arguments<'a>(
    input: &'a [u8],
    position: &mut usize,
) -> Result<Option<Vec<&'a [u8]>>, RespSyntaxError> {
    let mut parser = Parser { input, position: *position };
    let Some(count) = parser.read_length(b'*')? else { return Ok(None) };
    if !(0..=MAX_ARGUMENTS as i64).contains(&count) {
        return Err(RespSyntaxError::InvalidArrayLength);
    }
    let mut arguments = Vec::with_capacity(count as usize);
    let mut command_bytes = 0;
    for _ in 0..count {
        let Some(length) = parser.read_length(b'$')? else { return Ok(None) };
        let length = usize::try_from(length).map_err(|_| RespSyntaxError::InvalidBulkLength)?;
        command_bytes += length;
        if command_bytes > MAX_COMMAND_BYTES {
            return Err(RespSyntaxError::CommandTooLarge);
        }
        let Some(argument) = parser.read_bulk_content(length)? else { return Ok(None) };
        arguments.push(argument);
    }
    *position = parser.position;
    Ok(Some(arguments))
}

/// Reads parts of a command. Each method returns `None` if the input ends before the part does.
struct Parser<'a> {
    input: &'a [u8],
    position: usize,
}

impl<'a> Parser<'a> {
    /// Reads a line that consists of `marker` and a length.
    fn read_length(&mut self, marker: u8) -> Result<Option<i64>, RespSyntaxError> {
        let rest = &self.input[self.position..];
        let Some(first) = rest.first() else { return Ok(None) };
        if *first != marker {
            return Err(RespSyntaxError::UnexpectedType);
        }
        let Some(end) = rest.iter().take(MAX_LENGTH_LINE_BYTES).position(|byte| *byte == b'\n') else {
            let too_long = rest.len() >= MAX_LENGTH_LINE_BYTES;
            return if too_long { Err(RespSyntaxError::LineTooLong) } else { Ok(None) };
        };
        let text = rest[1..end].strip_suffix(b"\r").ok_or(RespSyntaxError::MissingCarriageReturn)?;
        let text = std::str::from_utf8(text).map_err(|_| RespSyntaxError::InvalidNumber)?;
        let length = text.parse().map_err(|_| RespSyntaxError::InvalidNumber)?;
        self.position += end + 1;
        Ok(Some(length))
    }

    /// Reads the content of a bulk string of a known length, and its end.
    fn read_bulk_content(&mut self, length: usize) -> Result<Option<&'a [u8]>, RespSyntaxError> {
        let end = self.position + length;
        let Some(terminator) = self.input.get(end..end + 2) else { return Ok(None) };
        if terminator != b"\r\n" {
            return Err(RespSyntaxError::MissingBulkEnd);
        }
        let content = &self.input[self.position..end];
        self.position = end + 2;
        Ok(Some(content))
    }
}
