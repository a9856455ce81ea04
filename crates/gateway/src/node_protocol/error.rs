//! Errors in the bytes that a node sends.

use crate::resp_bulk_string::MissingTerminator;
use crate::sftp_packet::MalformedPacket;

/// The node sent bytes that violate the protocol at this point. The connection cannot be used any
/// more.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ProtocolError {
    /// Bytes arrived while no request was in flight.
    #[error("a reply to no request")]
    UnsolicitedReply,
    /// The reply exceeds the maximum size.
    #[error("the reply is too long")]
    ReplyTooLong,
    /// A RESP2 value has another type than expected.
    #[error("a value of an unexpected type")]
    UnexpectedType,
    /// A RESP2 line exceeds the maximum length.
    #[error("a line is too long")]
    LineTooLong,
    /// The length of a RESP2 value is not a number, or is out of bounds.
    #[error("an invalid length")]
    InvalidLength,
    /// RESP2 arrays are nested too deeply.
    #[error("arrays are nested too deeply")]
    NestedTooDeeply,
    /// The content of a RESP2 bulk string is not followed by CR LF at its declared length.
    #[error(transparent)]
    MissingTerminator(#[from] MissingTerminator),
    /// An SFTP packet cannot be decoded.
    #[error(transparent)]
    MalformedPacket(#[from] MalformedPacket),
    /// An SFTP packet has a type that is not a valid reply to the last command.
    #[error("a packet of an unexpected type")]
    UnexpectedPacket,
    /// The protocol version of the SFTP server is too old.
    #[error("an unsupported protocol version")]
    UnsupportedVersion,
}
