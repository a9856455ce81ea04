//! Memory budget for the object data that the gateway buffers while clients read or upload objects.

use super::error::SftpError;
use std::cell::Cell;

/// Limits the total number of bytes that the handles of all clients buffer.
pub(super) struct BufferBudget {
    /// Bytes reserved for uploads and for objects open for reading.
    reserved_bytes: Cell<usize>,
    /// Maximum of `reserved_bytes`.
    max_bytes: usize,
}

impl BufferBudget {
    /// Creates a budget with nothing reserved.
    pub(super) fn new(max_bytes: usize) -> BufferBudget {
        BufferBudget {
            reserved_bytes: Cell::new(0),
            max_bytes,
        }
    }

    /// Reserves `additional_bytes` bytes that a handle is about to buffer. Fails with
    /// [`SftpError::BuffersFull`] if this would exceed the budget.
    pub(super) fn reserve(&self, additional_bytes: usize) -> Result<(), SftpError> {
        let reserved = self.reserved_bytes.get() + additional_bytes;
        if additional_bytes > 0 && reserved > self.max_bytes {
            return Err(SftpError::BuffersFull);
        }
        self.reserved_bytes.set(reserved);
        Ok(())
    }

    /// Releases bytes that [`Self::reserve`] reserved.
    pub(super) fn release(&self, released_bytes: usize) {
        let reserved = self.reserved_bytes.get() - released_bytes;
        self.reserved_bytes.set(reserved);
    }
}
