//! Packets of the SSH File Transfer Protocol, version 3 (draft-ietf-secsh-filexfer-02), over a plain
//! stream without the SSH transport.
//!
//! The client protocol (this program as the server) and the node protocol (as the client) share this codec. A packet is a 32-bit length, a type byte
//! (see [`packet_type`]) and the fields of that type; all numbers are big-endian. [`decode_packet`] and [`Fields`] decode,
//! [`Packet`] and [`encode_status`] encode.

mod builder;
mod reader;

pub use builder::{encode_status, Packet};
pub use reader::{decode_packet, DecodedPacket, Fields, MalformedPacket};

/// The protocol version that both sides announce.
pub const VERSION: u32 = 3;
/// Longest accepted packet in bytes, without its length field: one object and the fields around it.
pub const MAX_PACKET_LENGTH: usize = crate::config::MAX_VALUE_BYTES + (4 << 10);

/// Flag bit of file attributes: the size field is present.
const ATTRIBUTE_SIZE: u32 = 0x0000_0001;
/// Flag bit of file attributes: the user and group ids are present.
const ATTRIBUTE_OWNER: u32 = 0x0000_0002;
/// Flag bit of file attributes: the permissions are present.
const ATTRIBUTE_PERMISSIONS: u32 = 0x0000_0004;
/// Flag bit of file attributes: the access and modification times are present.
const ATTRIBUTE_TIMES: u32 = 0x0000_0008;
/// Flag bit of file attributes: a counted list of extension pairs follows.
const ATTRIBUTE_EXTENDED: u32 = 0x8000_0000;

/// The type byte of a packet, which follows the length field.
pub mod packet_type {
    /// `SSH_FXP_INIT`: the client's greeting with its protocol version.
    pub const INIT: u8 = 1;
    /// `SSH_FXP_VERSION`: the server's reply to `INIT`.
    pub const VERSION: u8 = 2;
    /// `SSH_FXP_OPEN`: open a file; the reply is `HANDLE`.
    pub const OPEN: u8 = 3;
    /// `SSH_FXP_CLOSE`: close a file or directory handle.
    pub const CLOSE: u8 = 4;
    /// `SSH_FXP_READ`: read a range of an open file; the reply is `DATA`.
    pub const READ: u8 = 5;
    /// `SSH_FXP_WRITE`: write a range of an open file.
    pub const WRITE: u8 = 6;
    /// `SSH_FXP_LSTAT`: attributes of a path, without following symbolic links.
    pub const LSTAT: u8 = 7;
    /// `SSH_FXP_FSTAT`: attributes of an open handle.
    pub const FSTAT: u8 = 8;
    /// `SSH_FXP_OPENDIR`: open a directory; the reply is `HANDLE`.
    pub const OPENDIR: u8 = 11;
    /// `SSH_FXP_READDIR`: the next entries of an open directory; the reply is `NAME`.
    pub const READDIR: u8 = 12;
    /// `SSH_FXP_REALPATH`: the canonical form of a path; the reply is `NAME` with one entry.
    pub const REALPATH: u8 = 16;
    /// `SSH_FXP_STAT`: attributes of a path.
    pub const STAT: u8 = 17;
    /// `SSH_FXP_STATUS`: a reply with a [`StatusCode`](super::StatusCode).
    pub const STATUS: u8 = 101;
    /// `SSH_FXP_HANDLE`: a reply with the handle of an open file or directory.
    pub const HANDLE: u8 = 102;
    /// `SSH_FXP_DATA`: a reply with bytes of a file.
    pub const DATA: u8 = 103;
    /// `SSH_FXP_NAME`: a reply with directory entries.
    pub const NAME: u8 = 104;
    /// `SSH_FXP_ATTRS`: a reply with file attributes.
    pub const ATTRS: u8 = 105;
}

/// Flag bits of `SSH_FXP_OPEN`.
pub mod open_flags {
    /// `SSH_FXF_READ`: open for reading.
    pub const READ: u32 = 0x01;
    /// `SSH_FXF_WRITE`: open for writing.
    pub const WRITE: u32 = 0x02;
    /// `SSH_FXF_CREAT`: create the file if it does not exist.
    pub const CREAT: u32 = 0x08;
    /// `SSH_FXF_TRUNC`: truncate an existing file.
    pub const TRUNC: u32 = 0x10;
}

/// Status codes of `SSH_FXP_STATUS`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u32)]
pub enum StatusCode {
    /// `SSH_FX_OK`: the command succeeded.
    Ok = 0,
    /// `SSH_FX_EOF`: no more data or directory entries.
    Eof = 1,
    /// `SSH_FX_NO_SUCH_FILE`: the path does not exist.
    NoSuchFile = 2,
    /// `SSH_FX_PERMISSION_DENIED`: the command is not permitted.
    PermissionDenied = 3,
    /// `SSH_FX_FAILURE`: an error without a more specific code.
    Failure = 4,
    /// `SSH_FX_BAD_MESSAGE`: the packet was malformed.
    BadMessage = 5,
    /// `SSH_FX_OP_UNSUPPORTED`: the command is not supported.
    Unsupported = 8,
}
