//! The types of packets.

/// The type byte of a packet, which follows the length field. Any byte is accepted here; types
/// without a constant are not supported by the gateway.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PacketType(pub u8);

impl PacketType {
    /// `SSH_FXP_INIT`: the client's first packet, with its protocol version.
    pub const INIT: PacketType = PacketType(1);
    /// `SSH_FXP_VERSION`: the server's reply to `INIT`.
    pub const VERSION: PacketType = PacketType(2);
    /// `SSH_FXP_OPEN`: opens a file; the reply is `HANDLE`.
    pub const OPEN: PacketType = PacketType(3);
    /// `SSH_FXP_CLOSE`: closes a file or directory handle.
    pub const CLOSE: PacketType = PacketType(4);
    /// `SSH_FXP_READ`: reads a range of an open file; the reply is `DATA`.
    pub const READ: PacketType = PacketType(5);
    /// `SSH_FXP_WRITE`: writes a range of an open file.
    pub const WRITE: PacketType = PacketType(6);
    /// `SSH_FXP_LSTAT`: queries the attributes of a path without following symbolic links.
    pub const LSTAT: PacketType = PacketType(7);
    /// `SSH_FXP_FSTAT`: queries the attributes of an open handle.
    pub const FSTAT: PacketType = PacketType(8);
    /// `SSH_FXP_OPENDIR`: opens a directory; the reply is `HANDLE`.
    pub const OPENDIR: PacketType = PacketType(11);
    /// `SSH_FXP_READDIR`: reads the next entries of an open directory; the reply is `NAME`.
    pub const READDIR: PacketType = PacketType(12);
    /// `SSH_FXP_REALPATH`: queries the canonical form of a path; the reply is `NAME` with one
    /// entry.
    pub const REALPATH: PacketType = PacketType(16);
    /// `SSH_FXP_STAT`: queries the attributes of a path.
    pub const STAT: PacketType = PacketType(17);
    /// `SSH_FXP_STATUS`: a reply with a [`StatusCode`](super::StatusCode).
    pub const STATUS: PacketType = PacketType(101);
    /// `SSH_FXP_HANDLE`: a reply with the handle of an open file or directory.
    pub const HANDLE: PacketType = PacketType(102);
    /// `SSH_FXP_DATA`: a reply with data of a file.
    pub const DATA: PacketType = PacketType(103);
    /// `SSH_FXP_NAME`: a reply with directory entries.
    pub const NAME: PacketType = PacketType(104);
    /// `SSH_FXP_ATTRS`: a reply with file attributes.
    pub const ATTRS: PacketType = PacketType(105);
}
