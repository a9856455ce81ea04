//! Totals of bytes over all connections.

/// The part of one connection in a total of bytes over all connections.
///
/// Each connection remembers its part, so that the total can be updated when the part changes and
/// reduced when the connection closes.
#[derive(Debug, Default)]
pub(crate) struct CountedBytes {
    /// The bytes counted so far.
    bytes: usize,
}

impl CountedBytes {
    /// The part as counted last, in bytes.
    pub(crate) fn get(&self) -> usize {
        self.bytes
    }

    /// Sets the part to `bytes`, and updates the total that it is counted in.
    pub(crate) fn set(&mut self, bytes: usize, total: &mut usize) {
        *total = *total + bytes - self.bytes;
        self.bytes = bytes;
    }
}
