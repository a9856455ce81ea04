//! Encoding and decoding of RESP2 bulk strings: a length line such as `$5`, the content, and CRLF.
//!
//! The client protocol and the node protocol share this module. Each parses the length line itself,
//! because their limits on the length differ.

use std::io::Write;

/// CRLF, which ends each line and the content of each bulk string.
const TERMINATOR: &[u8] = b"\r\n";

/// The content of a bulk string is not followed by CRLF.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("missing CRLF after a bulk string")]
pub struct MissingTerminator;

/// Appends `value` as a bulk string to `out`.
pub fn append_bulk_string(value: &[u8], out: &mut Vec<u8>) {
    // Writing to a vector cannot fail.
    let _ = write!(out, "${}\r\n", value.len());
    out.extend_from_slice(value);
    out.extend_from_slice(TERMINATOR);
}

/// Reads the content of a bulk string of `length` bytes that starts at `position`, and moves
/// `position` past the CRLF that ends it. Returns `None` and leaves `position` unchanged if the
/// CRLF has not been received yet.
///
/// # Errors
///
/// [`MissingTerminator`] if the content is followed by anything other than CRLF.
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
