//! Incremental parser of the HTTP/1.1 response to a watch.

use super::error::{FramingError, WatchError};
use super::framing::{chunk_size, state_after_head, ParserState};
use super::json_stream::JsonStream;
use crate::endpoint::EndpointListUpdate;

/// Maximum length of the response head (status line and headers), in bytes.
const MAX_HEAD_BYTES: usize = 16 << 10;
/// Maximum length of a chunk size line, in bytes.
const MAX_CHUNK_SIZE_LINE_BYTES: usize = 16 << 10;
/// End of a line.
const LINE_END: &[u8] = b"\r\n";
/// End of a response head: the CRLF of the last header, and an empty line.
const HEAD_END: &[u8] = b"\r\n\r\n";

/// The result of one step of the parser.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Progress {
    /// Input was consumed or the state changed, so another step may be possible.
    Advanced,
    /// The next step needs more input.
    NeedsInput,
}

/// Parses the response to a watch, which may arrive in pieces of any size.
#[derive(Debug, Default)]
pub struct WatchParser {
    /// Received bytes that have not been parsed before the current call.
    input: Vec<u8>,
    /// Number of bytes of `input` that the current call has parsed.
    position: usize,
    /// The part of the response that is expected next.
    state: ParserState,
    /// Splits the body into JSON objects and decodes them.
    objects: JsonStream,
}

impl WatchParser {
    /// Processes received bytes. Every update that they complete is appended to `updates`, even if
    /// an error follows it.
    ///
    /// # Errors
    ///
    /// Returns an error if the response is malformed, if its status is not 200, or if its body
    /// contains anything other than updates of the endpoint list. The parser must not be used after
    /// an error.
    pub fn feed(
        &mut self,
        bytes: &[u8],
        updates: &mut Vec<EndpointListUpdate>,
    ) -> Result<(), WatchError> {
        self.input.extend_from_slice(bytes);
        let result = self.parse(updates);
        self.input.drain(..self.position);
        self.position = 0;
        result
    }

    /// Returns whether the response is complete.
    #[must_use]
    pub fn is_complete(&self) -> bool {
        self.state == ParserState::Complete
    }

    /// Returns whether an update has been received in part.
    #[must_use]
    pub fn has_partial_object(&self) -> bool {
        self.objects.has_partial_object()
    }

    /// Parses as much of the input as possible.
    fn parse(&mut self, updates: &mut Vec<EndpointListUpdate>) -> Result<(), WatchError> {
        loop {
            let progress = match self.state {
                ParserState::Head => self.parse_head()?,
                ParserState::ChunkSize => self.parse_chunk_size()?,
                ParserState::ChunkData { remaining } | ParserState::FixedLength { remaining } => {
                    self.parse_counted_data(remaining, updates)?
                }
                ParserState::ChunkEnd => self.parse_chunk_end()?,
                ParserState::UntilClose => self.parse_until_close(updates)?,
                ParserState::Complete => Progress::NeedsInput,
            };
            if progress == Progress::NeedsInput {
                return Ok(());
            }
        }
    }

    /// Parses the status line and the headers.
    fn parse_head(&mut self) -> Result<Progress, WatchError> {
        let Some(length) = self.find(HEAD_END, MAX_HEAD_BYTES)? else {
            return Ok(Progress::NeedsInput);
        };
        let head = String::from_utf8_lossy(&self.unread()[..length]).to_ascii_lowercase();
        self.position += length + HEAD_END.len();
        self.state = state_after_head(&head)?;
        Ok(Progress::Advanced)
    }

    /// Parses a chunk size line; a size of 0 ends the body.
    fn parse_chunk_size(&mut self) -> Result<Progress, WatchError> {
        let Some(length) = self.find(LINE_END, MAX_CHUNK_SIZE_LINE_BYTES)? else {
            return Ok(Progress::NeedsInput);
        };
        let remaining = chunk_size(&self.unread()[..length])?;
        self.position += length + LINE_END.len();
        self.state = match remaining {
            0 => ParserState::Complete,
            remaining => ParserState::ChunkData { remaining },
        };
        Ok(Progress::Advanced)
    }

    /// Parses body data of a chunk or of a body with a Content-Length. `remaining` bytes of it have
    /// not been parsed.
    fn parse_counted_data(
        &mut self,
        remaining: usize,
        updates: &mut Vec<EndpointListUpdate>,
    ) -> Result<Progress, WatchError> {
        let consumed = self.feed_body(remaining, updates)?;
        if consumed == 0 {
            return Ok(Progress::NeedsInput);
        }
        self.state = self.state.after_data(consumed);
        Ok(Progress::Advanced)
    }

    /// Parses the CRLF after the data of a chunk.
    fn parse_chunk_end(&mut self) -> Result<Progress, WatchError> {
        if self.unread().len() < LINE_END.len() {
            return Ok(Progress::NeedsInput);
        }
        if !self.unread().starts_with(LINE_END) {
            return Err(FramingError::MissingChunkEnd.into());
        }
        self.position += LINE_END.len();
        self.state = ParserState::ChunkSize;
        Ok(Progress::Advanced)
    }

    /// Parses data of a body that ends when the connection is closed; it always needs more input.
    fn parse_until_close(
        &mut self,
        updates: &mut Vec<EndpointListUpdate>,
    ) -> Result<Progress, WatchError> {
        self.feed_body(usize::MAX, updates)?;
        Ok(Progress::NeedsInput)
    }

    /// Passes up to `limit` bytes of input to the JSON stream, and returns how many it passed.
    fn feed_body(
        &mut self,
        limit: usize,
        updates: &mut Vec<EndpointListUpdate>,
    ) -> Result<usize, WatchError> {
        let available = self.input.len() - self.position;
        let length = limit.min(available);
        let end = self.position + length;
        self.objects
            .feed(&self.input[self.position..end], updates)?;
        self.position = end;
        Ok(length)
    }

    /// Returns the input that has not been parsed yet.
    fn unread(&self) -> &[u8] {
        &self.input[self.position..]
    }

    /// Returns the number of bytes before `terminator`, or `None` if it has not been received yet.
    /// Returns an error if more than `max_bytes` have been received without it.
    fn find(&self, terminator: &[u8], max_bytes: usize) -> Result<Option<usize>, FramingError> {
        let unread = self.unread();
        let found = unread
            .windows(terminator.len())
            .position(|window| window == terminator);
        if found.is_none() && unread.len() > max_bytes {
            return Err(FramingError::LineTooLong { max_bytes });
        }
        Ok(found)
    }
}
