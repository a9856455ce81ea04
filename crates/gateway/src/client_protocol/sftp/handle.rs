//! Open handles of one client, and the memory that they reserve.

use super::buffer_budget::BufferBudget;
use super::directory::Directory;
use super::error::SftpError;
use super::handle_number::HandleNumber;
use super::path::ObjectTarget;
use std::collections::BTreeMap;
use std::rc::Rc;

/// Maximum number of open handles per client.
const MAX_HANDLES: usize = 64;

/// An open file or directory.
pub(super) enum Handle {
    /// An object open for reading, with its whole content.
    Download(Vec<u8>),
    /// An object open for writing.
    Upload {
        /// The object to write.
        target: ObjectTarget,
        /// The bytes received so far.
        data: Vec<u8>,
    },
    /// A directory.
    Directory(Directory),
}

impl Handle {
    /// Returns the number of object bytes that the handle buffers.
    pub(super) fn buffered_bytes(&self) -> usize {
        match self {
            Handle::Download(data) | Handle::Upload { data, .. } => data.len(),
            Handle::Directory(_) => 0,
        }
    }
}

/// The open handles of one client, by number. The bytes that the handles buffer are reserved in
/// the budget shared by all clients, and are released when a handle is removed or the table is
/// dropped.
pub(super) struct HandleTable {
    /// The memory budget that all clients share.
    budget: Rc<BufferBudget>,
    /// The open handles.
    handles: BTreeMap<HandleNumber, Handle>,
    /// Number of the next handle.
    next_number: HandleNumber,
}

impl HandleTable {
    /// Creates an empty table.
    pub(super) fn new(budget: Rc<BufferBudget>) -> HandleTable {
        HandleTable {
            budget,
            handles: BTreeMap::new(),
            next_number: HandleNumber::FIRST,
        }
    }

    /// Adds a handle and returns its number. Fails if the client has too many handles, or if
    /// buffering the handle's bytes would exceed the shared budget.
    pub(super) fn insert(&mut self, handle: Handle) -> Result<HandleNumber, SftpError> {
        if self.handles.len() >= MAX_HANDLES {
            return Err(SftpError::TooManyHandles);
        }
        self.budget.reserve(handle.buffered_bytes())?;
        let number = self.next_number;
        self.next_number = number.next();
        self.handles.insert(number, handle);
        Ok(number)
    }

    /// Removes a handle and releases its bytes.
    pub(super) fn remove(&mut self, number: HandleNumber) -> Result<Handle, SftpError> {
        let handle = self
            .handles
            .remove(&number)
            .ok_or(SftpError::NoSuchHandle)?;
        self.budget.release(handle.buffered_bytes());
        Ok(handle)
    }

    /// Returns an open handle of any kind.
    pub(super) fn get(&self, number: HandleNumber) -> Result<&Handle, SftpError> {
        self.handles.get(&number).ok_or(SftpError::NoSuchHandle)
    }

    /// Returns the content of an object open for reading.
    pub(super) fn read_data(&self, number: HandleNumber) -> Result<&[u8], SftpError> {
        match self.handles.get(&number) {
            Some(Handle::Download(data)) => Ok(data),
            _ => Err(SftpError::NoSuchHandle),
        }
    }

    /// Returns an open directory.
    pub(super) fn directory_mut(
        &mut self,
        number: HandleNumber,
    ) -> Result<&mut Directory, SftpError> {
        match self.handles.get_mut(&number) {
            Some(Handle::Directory(directory)) => Ok(directory),
            _ => Err(SftpError::NoSuchHandle),
        }
    }

    /// Writes `bytes` to an upload at `offset`. The caller has checked that they end within the
    /// maximum upload size. A gap before them is filled with zeros.
    pub(super) fn write_upload(
        &mut self,
        number: HandleNumber,
        offset: usize,
        bytes: &[u8],
    ) -> Result<(), SftpError> {
        let Some(Handle::Upload { data, .. }) = self.handles.get_mut(&number) else {
            return Err(SftpError::NoSuchHandle);
        };
        let end = offset + bytes.len();
        let new_length = data.len().max(end);
        self.budget.reserve(new_length - data.len())?;
        data.resize(new_length, 0);
        data[offset..end].copy_from_slice(bytes);
        Ok(())
    }

    /// Returns whether any handle is open for writing.
    pub(super) fn has_upload(&self) -> bool {
        self.handles
            .values()
            .any(|handle| matches!(handle, Handle::Upload { .. }))
    }
}

impl Drop for HandleTable {
    fn drop(&mut self) {
        let buffered = self.handles.values().map(Handle::buffered_bytes).sum();
        self.budget.release(buffered);
    }
}
