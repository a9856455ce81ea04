//! Errors for invalid RESP2 commands and requests.
//!
//! The error messages are sent to clients, which rely on them, so they must not change. For this
//! reason some of them use other terms than the code.

use crate::resp_bulk_string::MissingTerminator;
use crate::resp_wire_names::parameter;

/// The input is not a valid command. The connection is closed after the error reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub(super) enum SyntaxError {
    /// The declared number of arguments is negative or exceeds the limit.
    #[error("invalid multibulk length")]
    InvalidArrayLength,
    /// The declared length of a bulk string is negative.
    #[error("invalid bulk length")]
    InvalidBulkLength,
    /// The total size of the arguments exceeds [`MAX_COMMAND_BYTES`](super::MAX_COMMAND_BYTES).
    #[error("command too large")]
    CommandTooLarge,
    /// The content of a bulk string is not followed by CRLF at its declared length.
    #[error("expected the end of a bulk string")]
    MissingBulkEnd,
    /// The input has another RESP type than the one expected.
    #[error("expected an array of bulk strings")]
    UnexpectedType,
    /// A length line exceeds the maximum size.
    #[error("line too long")]
    LineTooLong,
    /// A line ends with LF instead of CRLF.
    #[error("expected CR LF")]
    MissingCarriageReturn,
    /// A declared length is not a number.
    #[error("invalid number")]
    InvalidNumber,
}

impl From<MissingTerminator> for SyntaxError {
    fn from(_: MissingTerminator) -> Self {
        SyntaxError::MissingBulkEnd
    }
}

/// The command is well-formed, but its request is invalid. The connection stays open after the
/// error reply.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub(super) enum RequestError {
    /// An argument other than the body is not valid UTF-8.
    #[error("not UTF-8")]
    NotUtf8,
    /// The object id is not 16 hex digits.
    #[error("the piece of data is not 16 hex digits")]
    InvalidObject,
    /// The client request id is empty, too long, or contains characters other than visible ASCII.
    #[error("the id is missing or no word")]
    InvalidRequestId,
    /// A parameter has no `=`.
    #[error("'{0}' has no value")]
    ParameterWithoutValue(String),
    /// The value of a parameter is invalid.
    #[error("'{value}' is no value for {name}")]
    InvalidParameterValue {
        /// Name of the parameter.
        name: String,
        /// Value as sent by the client.
        value: String,
    },
    /// Two parameters have the same name. The parameter list is forwarded to the node, which might
    /// use a different one of the two values than the gateway.
    #[error("{0} stands twice")]
    DuplicateParameter(String),
    /// The class is missing or is not defined in the settings.
    #[error("{} names no class of the settings", parameter::CLASS)]
    UnknownClass,
    /// The plan is missing or is not defined in the settings.
    #[error("{} names no plan of the settings", parameter::PLAN)]
    UnknownPlan,
    /// The volume is missing.
    #[error("{} is missing", parameter::VOLUME)]
    MissingVolume,
    /// The shard is missing.
    #[error("{} is missing", parameter::SHARD)]
    MissingShard,
    /// The client's timeout is missing.
    #[error("{} is missing", parameter::TIMEOUT)]
    MissingTimeout,
    /// The command reads and the class is for writes, or the reverse.
    #[error("requests of class {0} are not asked for this way")]
    WrongOperation(String),
}
