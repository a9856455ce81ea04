//! Parser for RESP2 commands, which are arrays of bulk strings.

use super::error::SyntaxError;
use crate::number_text::parse_resp_length;
use crate::resp_bulk_string::read_bulk_content;
use crate::storage_request::MAX_VALUE_BYTES;

/// Maximum number of arguments of a command, including its name.
const MAX_ARGUMENTS: usize = 64;
/// Maximum size of a length line, such as `*3` or `$5`, in bytes.
const MAX_LENGTH_LINE_BYTES: usize = 64;
/// Maximum total size of a command's arguments, in bytes. It also bounds the input buffer of a
/// connection.
pub const MAX_COMMAND_BYTES: usize = MAX_VALUE_BYTES + (8 << 10);
/// First byte of an array's length line.
const ARRAY_MARKER: u8 = b'*';
/// First byte of a bulk string's length line.
const BULK_STRING_MARKER: u8 = b'$';

/// Parses the command that starts at `position` in `input` and returns its arguments, the command
/// name first. Advances `position` past the command. Returns `None` and leaves `position` unchanged
/// if the command is incomplete.
pub(super) fn parse_arguments<'a>(
    input: &'a [u8],
    position: &mut usize,
) -> Result<Option<Vec<&'a [u8]>>, SyntaxError> {
    let mut next = *position;
    let Some(count) = read_argument_count(input, &mut next)? else {
        return Ok(None);
    };
    let mut arguments = Vec::with_capacity(count);
    let mut command_bytes = 0;
    for _ in 0..count {
        let Some(length) = read_bulk_length(input, &mut next)? else {
            return Ok(None);
        };
        command_bytes += length;
        if command_bytes > MAX_COMMAND_BYTES {
            return Err(SyntaxError::CommandTooLarge);
        }
        let Some(argument) = read_bulk_content(input, &mut next, length)? else {
            return Ok(None);
        };
        arguments.push(argument);
    }
    *position = next;
    Ok(Some(arguments))
}

/// Reads the length line of a command and returns the number of arguments. Advances `position` as
/// [`read_length`] does.
fn read_argument_count(input: &[u8], position: &mut usize) -> Result<Option<usize>, SyntaxError> {
    let Some(count) = read_length(input, position, ARRAY_MARKER)? else {
        return Ok(None);
    };
    match usize::try_from(count) {
        Ok(count) if count <= MAX_ARGUMENTS => Ok(Some(count)),
        _ => Err(SyntaxError::InvalidArrayLength),
    }
}

/// Reads the length line of a bulk string and returns the length in bytes. Advances `position` as
/// [`read_length`] does.
fn read_bulk_length(input: &[u8], position: &mut usize) -> Result<Option<usize>, SyntaxError> {
    let Some(length) = read_length(input, position, BULK_STRING_MARKER)? else {
        return Ok(None);
    };
    match usize::try_from(length) {
        Ok(length) => Ok(Some(length)),
        Err(_) => Err(SyntaxError::InvalidBulkLength),
    }
}

/// Reads a line that consists of `marker` and a length, and advances `position` past it. Returns
/// `None` and leaves `position` unchanged if the line is incomplete.
fn read_length(input: &[u8], position: &mut usize, marker: u8) -> Result<Option<i64>, SyntaxError> {
    let rest = &input[*position..];
    let Some(first) = rest.first() else {
        return Ok(None);
    };
    if *first != marker {
        return Err(SyntaxError::UnexpectedType);
    }
    let search_range = &rest[..rest.len().min(MAX_LENGTH_LINE_BYTES)];
    let Some(line_feed) = search_range.iter().position(|byte| *byte == b'\n') else {
        let is_line_too_long = rest.len() >= MAX_LENGTH_LINE_BYTES;
        return if is_line_too_long {
            Err(SyntaxError::LineTooLong)
        } else {
            Ok(None)
        };
    };
    let length = parse_length(&rest[1..line_feed])?;
    *position += line_feed + 1;
    Ok(Some(length))
}

/// Parses the number in a length line, given without its marker and its LF.
fn parse_length(text: &[u8]) -> Result<i64, SyntaxError> {
    let digits = text
        .strip_suffix(b"\r")
        .ok_or(SyntaxError::MissingCarriageReturn)?;
    parse_resp_length(digits).ok_or(SyntaxError::InvalidNumber)
}
