//! Codec for RESP2 bulk strings. A bulk string consists of a length line such as `$5`, the content,
//! and CRLF.
//!
//! The client protocol and the node protocol share this codec. Each of them parses the length line
//! itself, because their limits on it differ.

use std::io::Write;

/// Terminates each line and the content of each bulk string.
const TERMINATOR: &[u8] = b"\r\n";

/// The error returned when the content of a bulk string is not followed by CRLF.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("bulk string not terminated by CRLF")]
pub struct MissingTerminator;

/// Appends `value` to `out` as a bulk string.
pub fn append_bulk_string(value: &[u8], out: &mut Vec<u8>) {
    // Writing to a `Vec` cannot fail.
    let _ = write!(out, "${}\r\n", value.len());
    out.extend_from_slice(value);
    out.extend_from_slice(TERMINATOR);
}

/// Reads the content of a bulk string: `length` bytes that start at `position`. Advances `position`
/// past the CRLF that follows. Returns `None` and leaves `position` unchanged if `input` does not
/// contain all of it yet.
///
/// # Errors
///
/// Returns [`MissingTerminator`] if the content is not followed by CRLF.
pub fn read_bulk_content<'a>(
    input: &'a [u8],
    position: &mut usize,
    length: usize,
) -> Result<Option<&'a [u8]>, MissingTerminator> {
    let content_end = *position + length;
    let terminator_end = content_end + TERMINATOR.len();
    let Some(terminator) = input.get(content_end..terminator_end) else {
        return Ok(None);
    };
    if terminator != TERMINATOR {
        return Err(MissingTerminator);
    }
    let content = &input[*position..content_end];
    *position = terminator_end;
    Ok(Some(content))
}
