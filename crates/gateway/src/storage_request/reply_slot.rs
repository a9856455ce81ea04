//! Identifies where the final response to a request is sent.

use crate::connection_token::ConnectionToken;

/// The destination of a response: a position in the sequence of replies on a client connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ReplySlot {
    /// Token of the client's connection.
    pub connection: ConnectionToken,
    /// Position of the reply on that connection.
    pub slot: SlotNumber,
}

/// Number of a command on its connection, counted from 0; replies are sent in this order.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SlotNumber(pub u64);

impl SlotNumber {
    /// The number of the first command.
    pub const FIRST: SlotNumber = SlotNumber(0);

    /// Returns the number of the next command.
    #[must_use]
    pub fn next(self) -> SlotNumber {
        SlotNumber(self.0 + 1)
    }
}
