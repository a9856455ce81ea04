//! Errors of scenarios.

use thiserror::Error;

/// Why a statement of a scenario failed.
#[derive(Debug, Error)]
pub enum ScenarioError {
    /// The line does not begin with a known statement.
    #[error("unknown statement: {0}")]
    UnknownStatement(String),
    /// A node was declared without a valid shard number.
    #[error("node without a valid shard number")]
    MissingShard,
    /// The peer received nothing within the timeout.
    #[error("no message or connection end within the timeout")]
    NothingReceived,
    /// A different message was received, or a message instead of the end of the connection.
    #[error("unexpected message: {0}")]
    UnexpectedMessage(String),
    /// The connection ended while the scenario expected a message.
    #[error("the connection ended; expected a message")]
    ConnectionClosed,
}
