//! Byte totals over all connections.

/// The number of bytes that one connection contributes to a total over all connections.
///
/// The struct stores the contribution, so that the total can be adjusted when the contribution
/// changes and reduced when the connection is closed.
#[derive(Debug, Default)]
pub(crate) struct CountedBytes {
    /// The contribution that the total currently includes.
    bytes: usize,
}

impl CountedBytes {
    /// Returns the current contribution in bytes.
    pub(crate) fn get(&self) -> usize {
        self.bytes
    }

    /// Sets the contribution to `bytes` and adjusts `total` by the difference.
    pub(crate) fn set(&mut self, bytes: usize, total: &mut usize) {
        *total = *total + bytes - self.bytes;
        self.bytes = bytes;
    }
}
