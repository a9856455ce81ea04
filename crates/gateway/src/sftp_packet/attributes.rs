//! File attributes: the flags that tell which attributes a packet contains, and the values that the
//! gateway sends.

/// Flag: the size field is present.
pub(super) const HAS_SIZE: u32 = 0x0000_0001;
/// Flag: the user and group ids are present.
pub(super) const HAS_OWNER: u32 = 0x0000_0002;
/// Flag: the permissions are present.
pub(super) const HAS_PERMISSIONS: u32 = 0x0000_0004;
/// Flag: the access and modification times are present.
pub(super) const HAS_TIMES: u32 = 0x0000_0008;
/// Flag: extended attributes are present, as a count followed by that many pairs of strings.
pub(super) const HAS_EXTENSIONS: u32 = 0x8000_0000;

/// File type and permission bits of a regular file, as in `st_mode` of POSIX.
pub(super) const REGULAR_FILE_MODE: u32 = 0o100_644;
/// File type and permission bits of a directory, as in `st_mode` of POSIX.
pub(super) const DIRECTORY_MODE: u32 = 0o040_755;

/// The file attributes that the gateway sends in replies. Directories sort before regular files.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum FileAttributes {
    /// The attributes of a directory.
    Directory,
    /// The attributes of a regular file.
    RegularFile {
        /// Size of the file in bytes.
        size: u64,
    },
}
