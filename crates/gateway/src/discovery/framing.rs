//! HTTP/1.1 framing of the response to a watch: the head, the body and its chunks.

use super::error::{FramingError, WatchError};
use crate::number_text::{parse_decimal, parse_hexadecimal};

/// Maximum length of the part of the response that an error quotes, in bytes.
const MAX_QUOTED_BYTES: usize = 80;

/// The part of the response that the parser expects next.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) enum ParserState {
    /// The status line and the headers.
    #[default]
    Head,
    /// A chunk size line.
    ChunkSize,
    /// The data of a chunk, of which `remaining` bytes have not been parsed.
    ChunkData {
        /// Bytes of the chunk that have not been parsed.
        remaining: usize,
    },
    /// The CRLF after the data of a chunk.
    ChunkEnd,
    /// A body with a Content-Length, of which `remaining` bytes have not been parsed.
    FixedLength {
        /// Bytes of the body that have not been parsed.
        remaining: usize,
    },
    /// A body that ends when the connection is closed.
    UntilClose,
    /// Nothing: the response is complete.
    Complete,
}

impl ParserState {
    /// Returns the state after `consumed` more bytes of body data have been parsed.
    pub(super) fn after_data(self, consumed: usize) -> ParserState {
        match self {
            ParserState::ChunkData { remaining } if remaining == consumed => ParserState::ChunkEnd,
            ParserState::ChunkData { remaining } => ParserState::ChunkData {
                remaining: remaining - consumed,
            },
            ParserState::FixedLength { remaining } if remaining == consumed => {
                ParserState::Complete
            }
            ParserState::FixedLength { remaining } => ParserState::FixedLength {
                remaining: remaining - consumed,
            },
            other => other,
        }
    }
}

/// Parses a chunk size line and returns the size. Extensions after a semicolon are ignored.
pub(super) fn chunk_size(line: &[u8]) -> Result<usize, FramingError> {
    let invalid_size = || FramingError::InvalidChunkSize(quoted(line));
    let text = std::str::from_utf8(line).map_err(|_| invalid_size())?;
    let digits = text.split(';').next().unwrap_or_default().trim();
    let size = parse_hexadecimal(digits.as_bytes()).ok_or_else(invalid_size)?;
    let size = u32::try_from(size).map_err(|_| invalid_size())?;
    Ok(size as usize)
}

/// Returns the state after the response head, which is given in lower case.
pub(super) fn state_after_head(head: &str) -> Result<ParserState, WatchError> {
    let mut lines = head.lines();
    let status_line = lines.next().unwrap_or_default();
    let status = status_line.split(' ').nth(1).unwrap_or_default();
    if is_informational(status) {
        return Ok(ParserState::Head);
    }
    if status != "200" {
        return Err(WatchError::Status(status_line.to_owned()));
    }
    Ok(body_framing(lines)?)
}

/// Returns whether a status code is that of an interim response (1xx), which is followed by the
/// final response. 101 is not: it switches to another protocol, which the request does not ask for.
fn is_informational(status: &str) -> bool {
    status.len() == 3 && status.starts_with('1') && status != "101"
}

/// Determines the framing of the body from the headers, which are given in lower case.
/// Transfer-Encoding overrides Content-Length, as RFC 9112 requires.
fn body_framing<'a>(headers: impl Iterator<Item = &'a str>) -> Result<ParserState, FramingError> {
    let mut state = ParserState::UntilClose;
    for (name, value) in headers.filter_map(|line| line.split_once(':')) {
        match (name.trim(), value.trim()) {
            ("transfer-encoding", coding) if coding.ends_with("chunked") => {
                return Ok(ParserState::ChunkSize);
            }
            ("transfer-encoding", coding) => {
                return Err(FramingError::UnknownTransferCoding(quoted(
                    coding.as_bytes(),
                )));
            }
            ("content-length", length) => state = fixed_length(length)?,
            _ => {}
        }
    }
    Ok(state)
}

/// Returns the state at the start of a body with the stated Content-Length.
fn fixed_length(length: &str) -> Result<ParserState, FramingError> {
    let parsed = parse_decimal(length.as_bytes());
    match parsed.and_then(|length| usize::try_from(length).ok()) {
        Some(0) => Ok(ParserState::Complete),
        Some(remaining) => Ok(ParserState::FixedLength { remaining }),
        None => Err(FramingError::InvalidContentLength(quoted(
            length.as_bytes(),
        ))),
    }
}

/// Returns the start of a part of the response with control characters escaped, to be quoted in an
/// error message.
fn quoted(text: &[u8]) -> String {
    let start = &text[..text.len().min(MAX_QUOTED_BYTES)];
    start.escape_ascii().to_string()
}
