//! The flags of a request to open a file.

use std::ops::BitOr;

/// The flags of `SSH_FXP_OPEN`; combine them with `|`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OpenFlags(pub u32);

impl OpenFlags {
    /// `SSH_FXF_READ`: open for reading.
    pub const READ: OpenFlags = OpenFlags(0x01);
    /// `SSH_FXF_WRITE`: open for writing.
    pub const WRITE: OpenFlags = OpenFlags(0x02);
    /// `SSH_FXF_CREAT`: create the file if it does not exist.
    pub const CREATE: OpenFlags = OpenFlags(0x08);
    /// `SSH_FXF_TRUNC`: truncate an existing file.
    pub const TRUNCATE: OpenFlags = OpenFlags(0x10);
}

impl BitOr for OpenFlags {
    type Output = OpenFlags;

    fn bitor(self, other: OpenFlags) -> OpenFlags {
        OpenFlags(self.0 | other.0)
    }
}
