//! Why a scenario fails.

use thiserror::Error;

/// Why a line of a scenario fails.
#[derive(Debug, Error)]
pub enum ScenarioError {
    /// The line begins with no known verb.
    #[error("no such verb: {0}")]
    UnknownVerb(String),
    /// A node is declared without the number of its shard.
    #[error("the node has no shard")]
    MissingShard,
    /// Nothing was received in time.
    #[error("nothing was received")]
    NothingReceived,
    /// Another message was received, or one where the end of the connection was due.
    #[error("received: {0}")]
    UnexpectedMessage(String),
    /// The connection ended where a message was due.
    #[error("the connection was closed")]
    ConnectionClosed,
}
