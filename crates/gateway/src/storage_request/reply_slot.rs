//! Identifies where the final response to a request is sent.

use crate::connection_token::ConnectionToken;

/// The destination of a response: the reply to a command on a client connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ReplySlot {
    /// Token of the client's connection.
    pub connection: ConnectionToken,
    /// Number of the command on that connection whose reply contains the response.
    pub command_number: CommandNumber,
}

/// Number of a command on its connection, counted from 0; replies are sent in this order.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CommandNumber(pub u64);

impl CommandNumber {
    /// The number of the first command.
    pub const FIRST: CommandNumber = CommandNumber(0);

    /// Returns the number of the next command.
    #[must_use]
    pub fn next(self) -> CommandNumber {
        CommandNumber(self.0 + 1)
    }
}
