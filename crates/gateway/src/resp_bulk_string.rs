//! Bulk strings of RESP2: a length line such as `$5`, the content, and a line end.
//!
//! The client protocol and the node protocol share this codec. Each reads the length line itself,
//! as they bound it differently.

use std::io::Write;

/// The end of each line and of each bulk string's content.
const TERMINATOR: &[u8] = b"\r\n";

/// The content of a bulk string is not followed by a line end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("no line end after a bulk string")]
pub struct MissingTerminator;

/// Appends `value` as a bulk string to `out`.
pub fn append_bulk_string(value: &[u8], out: &mut Vec<u8>) {
    // Writing to a vector cannot fail.
    let _ = write!(out, "${}\r\n", value.len());
    out.extend_from_slice(value);
    out.extend_from_slice(TERMINATOR);
}

/// Reads the content of a bulk string of `length` bytes that starts at `position`, and moves
/// `position` past its line end. Returns `None`, with `position` unchanged, until the line end has
/// been received.
///
/// # Errors
///
/// [`MissingTerminator`] if something else than a line end follows the content.
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
