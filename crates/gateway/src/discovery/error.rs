//! Errors of a watch on the endpoint list.

/// Why discovery's response to a watch cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum WatchError {
    /// The status is not 200. Contains the status line in lower case.
    #[error("discovery responded '{0}'")]
    Status(String),
    /// The response is not well-formed HTTP/1.1.
    #[error("discovery sent invalid HTTP/1.1")]
    Framing,
    /// An object exceeds the limit on its length or on its nesting depth.
    #[error("discovery sent an object that is too long")]
    ObjectTooLong,
    /// The body contains something other than JSON objects.
    #[error("discovery's list: not a JSON object")]
    NotAnObject,
    /// An object is not an update of the endpoint list.
    #[error("discovery's list: {0}")]
    Undecodable(#[source] simd_json::Error),
}
