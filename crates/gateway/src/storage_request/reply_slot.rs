//! Where the final response to a request goes.

use crate::connection_token::ConnectionToken;

/// The destination of a response: a place among the replies of a client connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ReplySlot {
    /// Token of the client's connection.
    pub connection: ConnectionToken,
    /// Position among the replies of that connection.
    pub slot: u64,
}
