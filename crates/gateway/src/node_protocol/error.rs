//! Errors in the bytes that a node sends.

use crate::resp_bulk_string::MissingTerminator;
use crate::sftp_packet::MalformedPacket;

/// The node sent bytes that violate the protocol at this point. The connection cannot be used any
/// more.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ProtocolError {
    /// Bytes arrived while no request was in flight.
    #[error("received data while no request was in flight")]
    UnsolicitedReply,
    /// The reply exceeds the maximum size, or the large responses of all connections exceed their
    /// memory budget.
    #[error("reply exceeds its size limit or the memory budget for large responses")]
    ReplyTooLong,
    /// A RESP2 value has another type than expected.
    #[error("RESP2 value of an unexpected type")]
    UnexpectedType,
    /// A RESP2 error line has a name that is not that of a reply to a request.
    #[error("unknown RESP2 error")]
    UnknownError,
    /// A RESP2 line exceeds the maximum length.
    #[error("RESP2 line exceeds the maximum length")]
    LineTooLong,
    /// The length of a RESP2 value is not a number, or is out of bounds.
    #[error("invalid length of a RESP2 value")]
    InvalidLength,
    /// RESP2 arrays are nested too deeply.
    #[error("RESP2 arrays nested too deeply")]
    NestedTooDeeply,
    /// The content of a RESP2 bulk string is not followed by CRLF at its declared length.
    #[error(transparent)]
    MissingTerminator(#[from] MissingTerminator),
    /// An SFTP packet cannot be decoded.
    #[error(transparent)]
    MalformedPacket(#[from] MalformedPacket),
    /// An SFTP packet has a type that is not a valid reply to the last command.
    #[error("SFTP packet of an unexpected type")]
    UnexpectedPacket,
    /// The protocol version of the SFTP server is too old.
    #[error("unsupported SFTP protocol version")]
    UnsupportedVersion,
}
