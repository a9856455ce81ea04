//! File attributes: which of them a packet contains, and what this program states of a file.

/// Flag bit: the size field is present.
pub(super) const HAS_SIZE: u32 = 0x0000_0001;
/// Flag bit: the user and group ids are present.
pub(super) const HAS_OWNER: u32 = 0x0000_0002;
/// Flag bit: the permissions are present.
pub(super) const HAS_PERMISSIONS: u32 = 0x0000_0004;
/// Flag bit: the access and modification times are present.
pub(super) const HAS_TIMES: u32 = 0x0000_0008;
/// Flag bit: a counted list of extension pairs follows.
pub(super) const HAS_EXTENSIONS: u32 = 0x8000_0000;

/// File type and permission bits of a regular file, as in `st_mode` of POSIX.
pub(super) const REGULAR_FILE_MODE: u32 = 0o100_644;
/// File type and permission bits of a directory, as in `st_mode` of POSIX.
pub(super) const DIRECTORY_MODE: u32 = 0o040_755;

/// The attributes of a file that replies state. Directories are ordered before regular files.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum FileAttributes {
    /// Those of a directory.
    Directory,
    /// Those of a regular file.
    RegularFile {
        /// Size of the file in bytes.
        size: u64,
    },
}
