//! The protocols of storage nodes.

/// Protocol of a storage node.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Protocol {
    /// RESP2, the Redis serialization protocol in version 2.
    #[default]
    Resp2,
    /// SFTP in version 3, without the SSH transport.
    Sftp,
}
