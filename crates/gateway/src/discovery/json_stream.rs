//! Splits a byte stream into JSON objects.

use super::error::WatchError;
use crate::endpoint::EndpointListUpdate;

/// Maximum length of an object, in bytes.
const MAX_OBJECT_BYTES: usize = 1 << 20;
/// Maximum nesting depth of objects and arrays. An update of the endpoint list has three levels.
const MAX_DEPTH: usize = 16;

/// Splits a stream into JSON objects. Objects may contain line breaks, and may be separated by
/// whitespace or not at all, so the end of an object is found by counting braces and brackets.
#[derive(Debug, Default)]
pub(super) struct JsonStream {
    /// The part of the current object that has been received.
    buffer: Vec<u8>,
    /// Nesting depth at the end of `buffer`; 0 between objects.
    depth: usize,
    /// Whether the next byte is part of a string.
    in_string: bool,
    /// Whether the next byte follows a backslash in a string.
    escaped: bool,
}

impl JsonStream {
    /// Returns whether an object has been received in part.
    pub(super) fn has_partial_object(&self) -> bool {
        self.depth > 0
    }

    /// Processes received bytes. Decodes every object that they complete and appends it to
    /// `updates`.
    pub(super) fn feed(
        &mut self,
        bytes: &[u8],
        updates: &mut Vec<EndpointListUpdate>,
    ) -> Result<(), WatchError> {
        for &byte in bytes {
            if self.depth == 0 && byte.is_ascii_whitespace() {
                continue;
            }
            if self.depth == 0 && byte != b'{' {
                return Err(WatchError::NotAnObject);
            }
            self.push(byte)?;
            if self.depth == 0 {
                updates.push(self.decode_object()?);
            }
        }
        Ok(())
    }

    /// Appends one byte to the current object and updates the nesting depth.
    fn push(&mut self, byte: u8) -> Result<(), WatchError> {
        self.buffer.push(byte);
        match byte {
            _ if self.escaped => self.escaped = false,
            b'\\' => self.escaped = self.in_string,
            b'"' => self.in_string = !self.in_string,
            b'{' | b'[' if !self.in_string => self.depth += 1,
            b'}' | b']' if !self.in_string => self.depth -= 1,
            _ => {}
        }
        if self.depth > MAX_DEPTH {
            return Err(WatchError::ObjectTooDeep {
                max_depth: MAX_DEPTH,
            });
        }
        if self.buffer.len() > MAX_OBJECT_BYTES {
            return Err(WatchError::ObjectTooLong {
                max_bytes: MAX_OBJECT_BYTES,
            });
        }
        Ok(())
    }

    /// Decodes the complete object in the buffer, and empties the buffer.
    fn decode_object(&mut self) -> Result<EndpointListUpdate, WatchError> {
        let mut object = std::mem::take(&mut self.buffer);
        simd_json::serde::from_slice(&mut object).map_err(WatchError::Undecodable)
    }
}
