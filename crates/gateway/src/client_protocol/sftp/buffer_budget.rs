//! The memory for objects that clients buffer while they read or upload them.

use super::error::SftpError;
use std::cell::Cell;

/// A bound on the bytes that the handles of all clients buffer together.
pub(super) struct BufferBudget {
    /// Bytes reserved: uploads, and objects open for reading.
    reserved_bytes: Cell<usize>,
    /// Upper bound on the reserved bytes.
    max_bytes: usize,
}

impl BufferBudget {
    /// A budget of which nothing is reserved.
    pub(super) fn new(max_bytes: usize) -> BufferBudget {
        BufferBudget {
            reserved_bytes: Cell::new(0),
            max_bytes,
        }
    }

    /// Reserves memory for bytes that a handle is about to buffer.
    pub(super) fn reserve(&self, additional: usize) -> Result<(), SftpError> {
        let reserved = self.reserved_bytes.get() + additional;
        if additional > 0 && reserved > self.max_bytes {
            return Err(SftpError::BuffersFull);
        }
        self.reserved_bytes.set(reserved);
        Ok(())
    }

    /// Releases memory that [`Self::reserve`] reserved.
    pub(super) fn release(&self, released: usize) {
        let reserved = self.reserved_bytes.get() - released;
        self.reserved_bytes.set(reserved);
    }
}
