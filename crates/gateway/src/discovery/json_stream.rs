//! Splits a stream of bytes into the JSON objects that it consists of.

use super::endpoint_list::EndpointListUpdate;
use super::error::WatchError;

/// Longest object that is buffered, in bytes.
const MAX_OBJECT_BYTES: usize = 1 << 20;
/// Deepest nesting of objects and arrays; an endpoint list has three levels.
const MAX_DEPTH: usize = 16;

/// Splits a stream into its JSON objects. White space may stand between objects and indent them, so only the
/// braces show where an object ends.
#[derive(Debug, Default)]
pub(super) struct JsonStream {
    /// The object so far.
    buffer: Vec<u8>,
    /// Objects and arrays that are open.
    depth: usize,
    /// Whether the next byte is inside a string.
    in_string: bool,
    /// Whether the next byte follows a backslash in a string.
    escaped: bool,
}

impl JsonStream {
    /// Whether an object has begun and is not complete.
    pub(super) fn is_mid_object(&self) -> bool {
        self.depth > 0
    }

    /// Feeds bytes; every object that they complete is decoded and added to `updates`.
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

    /// Adds one byte to the object and keeps count of the nesting.
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
        if self.depth > MAX_DEPTH || self.buffer.len() > MAX_OBJECT_BYTES {
            return Err(WatchError::ObjectTooLong);
        }
        Ok(())
    }

    /// Decodes the object, which is complete, and empties the buffer.
    fn decode_object(&mut self) -> Result<EndpointListUpdate, WatchError> {
        let mut object = std::mem::take(&mut self.buffer);
        simd_json::serde::from_slice(&mut object).map_err(WatchError::Undecodable)
    }
}
