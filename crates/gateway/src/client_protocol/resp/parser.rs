//! Parsing of RESP2 commands, which are arrays of bulk strings.

use crate::config::MAX_VALUE_BYTES;
use crate::resp_bulk_string::{read_bulk_content, MissingTerminator};

/// Largest number of arguments in one command, including its name.
const MAX_ARGUMENTS: usize = 64;
/// Longest length line, such as `*3` or `$5`, in bytes.
const MAX_LENGTH_LINE_BYTES: usize = 64;
/// Largest total size of a command's arguments, in bytes. It also bounds the input buffer of a connection.
pub const MAX_COMMAND_BYTES: usize = MAX_VALUE_BYTES + (8 << 10);

/// Why the input is not a command. The text is sent to the client.
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
    /// No line end follows the announced number of bytes of a bulk string.
    #[error("expected the end of a bulk string")]
    MissingBulkEnd,
    /// The input is of another RESP type.
    #[error("expected an array of bulk strings")]
    UnexpectedType,
    /// A length line exceeds its bound.
    #[error("line too long")]
    LineTooLong,
    /// A line ends in LF alone.
    #[error("expected CR LF")]
    MissingCarriageReturn,
    /// An announced length is not a number.
    #[error("invalid number")]
    InvalidNumber,
}

impl From<MissingTerminator> for RespSyntaxError {
    fn from(_: MissingTerminator) -> Self {
        RespSyntaxError::MissingBulkEnd
    }
}

/// Parses the command of `input` that starts at `position` into its arguments, its name first. Moves `position`
/// past it; returns `None`, with `position` unchanged, until the command is complete.
pub(super) fn parse_arguments<'a>(
    input: &'a [u8],
    position: &mut usize,
) -> Result<Option<Vec<&'a [u8]>>, RespSyntaxError> {
    let mut next = *position;
    let Some(count) = read_length(input, &mut next, b'*')? else {
        return Ok(None);
    };
    if !(0..=MAX_ARGUMENTS as i64).contains(&count) {
        return Err(RespSyntaxError::InvalidArrayLength);
    }
    let mut arguments = Vec::with_capacity(count as usize);
    let mut command_bytes = 0;
    for _ in 0..count {
        let Some(length) = read_length(input, &mut next, b'$')? else {
            return Ok(None);
        };
        let length = usize::try_from(length).map_err(|_| RespSyntaxError::InvalidBulkLength)?;
        command_bytes += length;
        if command_bytes > MAX_COMMAND_BYTES {
            return Err(RespSyntaxError::CommandTooLarge);
        }
        let Some(argument) = read_bulk_content(input, &mut next, length)? else {
            return Ok(None);
        };
        arguments.push(argument);
    }
    *position = next;
    Ok(Some(arguments))
}

/// Reads a line that consists of `marker` and a length, and moves `position` past it. Returns `None`, with
/// `position` unchanged, until the line is complete.
fn read_length(
    input: &[u8],
    position: &mut usize,
    marker: u8,
) -> Result<Option<i64>, RespSyntaxError> {
    let rest = &input[*position..];
    let Some(first) = rest.first() else {
        return Ok(None);
    };
    if *first != marker {
        return Err(RespSyntaxError::UnexpectedType);
    }
    let Some(line_feed) = rest
        .iter()
        .take(MAX_LENGTH_LINE_BYTES)
        .position(|byte| *byte == b'\n')
    else {
        let too_long = rest.len() >= MAX_LENGTH_LINE_BYTES;
        return if too_long {
            Err(RespSyntaxError::LineTooLong)
        } else {
            Ok(None)
        };
    };
    let text = rest[1..line_feed]
        .strip_suffix(b"\r")
        .ok_or(RespSyntaxError::MissingCarriageReturn)?;
    let text = std::str::from_utf8(text).map_err(|_| RespSyntaxError::InvalidNumber)?;
    let length = text.parse().map_err(|_| RespSyntaxError::InvalidNumber)?;
    *position += line_feed + 1;
    Ok(Some(length))
}
