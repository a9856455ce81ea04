//! Protocols that storage nodes use.

/// The protocol that a storage node uses.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Protocol {
    /// RESP2, version 2 of the Redis serialization protocol.
    #[default]
    Resp2,
    /// SFTP version 3, without the SSH transport.
    Sftp,
}
