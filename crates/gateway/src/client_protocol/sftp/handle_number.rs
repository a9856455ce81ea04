//! Numbers of open handles, and their encoding on the wire.

use super::error::SftpError;
use crate::sftp_packet::Fields;

/// The number of a handle, unique among the open handles of a client. On the wire it is a string
/// of four bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct HandleNumber(u32);

impl HandleNumber {
    /// The number of a client's first handle.
    pub(super) const FIRST: HandleNumber = HandleNumber(0);

    /// Returns the number after this one. The largest number is followed by zero.
    pub(super) fn next(self) -> HandleNumber {
        HandleNumber(self.0.wrapping_add(1))
    }

    /// Reads the next field of a command as a handle.
    pub(super) fn decode(fields: &mut Fields<'_>) -> Result<HandleNumber, SftpError> {
        let bytes = fields
            .string()?
            .try_into()
            .map_err(|_| SftpError::NoSuchHandle)?;
        Ok(HandleNumber(u32::from_be_bytes(bytes)))
    }

    /// Returns the bytes of the handle's string on the wire.
    pub(super) fn to_bytes(self) -> [u8; 4] {
        self.0.to_be_bytes()
    }
}
