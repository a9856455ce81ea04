//! Why a command or its request is invalid.
//!
//! The texts are sent to the client and must not change: clients rely on them. So some use other
//! terms than the code.

use crate::resp_bulk_string::MissingTerminator;
use crate::resp_wire_names::parameter;

/// Why the input is not a command.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub(super) enum SyntaxError {
    /// The array announces a negative number of arguments, or too many.
    #[error("invalid multibulk length")]
    InvalidArrayLength,
    /// A bulk string announces a negative length.
    #[error("invalid bulk length")]
    InvalidBulkLength,
    /// The arguments together exceed [`MAX_COMMAND_BYTES`](super::MAX_COMMAND_BYTES).
    #[error("command too large")]
    CommandTooLarge,
    /// No line end follows the announced number of bytes of a bulk string.
    #[error("expected the end of a bulk string")]
    MissingBulkEnd,
    /// The input is of another RESP type.
    #[error("expected an array of bulk strings")]
    UnexpectedType,
    /// A length line exceeds its bound.
    #[error("line too long")]
    LineTooLong,
    /// A line ends in LF alone.
    #[error("expected CR LF")]
    MissingCarriageReturn,
    /// An announced length is not a number.
    #[error("invalid number")]
    InvalidNumber,
}

impl From<MissingTerminator> for SyntaxError {
    fn from(_: MissingTerminator) -> Self {
        SyntaxError::MissingBulkEnd
    }
}

/// Why a request is invalid.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub(super) enum RequestError {
    /// An argument other than the body is not text.
    #[error("not UTF-8")]
    NotUtf8,
    /// The object is not 16 hex digits.
    #[error("the piece of data is not 16 hex digits")]
    InvalidObject,
    /// The client request id is empty, too long or not made of visible ASCII characters only.
    #[error("the id is missing or no word")]
    InvalidRequestId,
    /// A parameter has no `=`.
    #[error("'{0}' has no value")]
    ParameterWithoutValue(String),
    /// A parameter's value is not valid for its name.
    #[error("'{value}' is no value for {name}")]
    InvalidParameterValue {
        /// The parameter's name.
        name: String,
        /// The value as sent.
        value: String,
    },
    /// Two parameters have the same name. As the parameters are forwarded, the node might use the
    /// other one.
    #[error("{0} stands twice")]
    DuplicateParameter(String),
    /// The class is missing or not in the settings.
    #[error("{} names no class of the settings", parameter::CLASS)]
    UnknownClass,
    /// The plan is missing or not in the settings.
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
    /// The class writes and the command reads, or the reverse.
    #[error("requests of class {0} are not asked for this way")]
    WrongOperation(String),
}
