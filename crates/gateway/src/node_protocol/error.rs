//! What can be wrong with the bytes that a node sends.

use crate::resp_bulk_string::MissingTerminator;
use crate::sftp_packet::MalformedPacket;

/// The node sent bytes that its protocol does not allow at this point. The connection cannot be
/// used further.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ProtocolError {
    /// Bytes arrived while no request was in flight.
    #[error("a reply to no request")]
    UnsolicitedReply,
    /// The reply exceeds the largest accepted size.
    #[error("the reply is too long")]
    ReplyTooLong,
    /// A RESP2 value has another type than is expected at its place.
    #[error("a value of an unexpected type")]
    UnexpectedType,
    /// A RESP2 line exceeds its bound.
    #[error("a line is too long")]
    LineTooLong,
    /// The length of a RESP2 value is not a number, or is out of bounds.
    #[error("an invalid length")]
    InvalidLength,
    /// RESP2 arrays are nested too deeply.
    #[error("arrays are nested too deeply")]
    NestedTooDeeply,
    /// The content of a RESP2 bulk string is longer than announced.
    #[error(transparent)]
    MissingTerminator(#[from] MissingTerminator),
    /// An SFTP packet cannot be decoded.
    #[error(transparent)]
    MalformedPacket(#[from] MalformedPacket),
    /// An SFTP packet is no reply to the last command.
    #[error("a packet of an unexpected type")]
    UnexpectedPacket,
    /// The SFTP server announces a version that is too old.
    #[error("an unsupported protocol version")]
    UnsupportedVersion,
}
