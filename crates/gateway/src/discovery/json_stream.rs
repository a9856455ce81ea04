//! Splitting of a byte stream into JSON objects.

use super::error::WatchError;
use crate::endpoint::EndpointListUpdate;

/// Longest object that is buffered, in bytes.
const MAX_OBJECT_BYTES: usize = 1 << 20;
/// Deepest accepted nesting of objects and arrays; an update of the endpoint list has three
/// levels.
const MAX_DEPTH: usize = 16;

/// Splits a stream into its JSON objects. As objects may contain line breaks and may be separated
/// by any white space or none, the end of an object is found by counting braces and brackets.
#[derive(Debug, Default)]
pub(super) struct JsonStream {
    /// The bytes of the current object received so far.
    buffer: Vec<u8>,
    /// Number of objects and arrays that are open.
    depth: usize,
    /// Whether the next byte is inside a string.
    in_string: bool,
    /// Whether the next byte follows a backslash in a string.
    escaped: bool,
}

impl JsonStream {
    /// Whether a part of an object has been received.
    pub(super) fn is_mid_object(&self) -> bool {
        self.depth > 0
    }

    /// Processes received bytes; every object that they complete is decoded and appended to
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

    /// Decodes the buffered object, which is complete, and empties the buffer.
    fn decode_object(&mut self) -> Result<EndpointListUpdate, WatchError> {
        let mut object = std::mem::take(&mut self.buffer);
        simd_json::serde::from_slice(&mut object).map_err(WatchError::Undecodable)
    }
}
