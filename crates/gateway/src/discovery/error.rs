//! Errors of a watch.

/// What can be wrong with discovery's response to a watch.
#[derive(Debug, thiserror::Error)]
pub enum WatchError {
    /// The status is not 200; the status line follows, in lower case.
    #[error("discovery responded '{0}'")]
    Status(String),
    /// The response is not well-formed HTTP/1.1.
    #[error("discovery sent invalid HTTP/1.1")]
    Framing,
    /// An object exceeds the limit on its length or on its depth.
    #[error("discovery sent an object that is too long")]
    ObjectTooLong,
    /// The body contains something besides JSON objects.
    #[error("discovery's list: not a JSON object")]
    NotAnObject,
    /// An object is not an update of the endpoint list.
    #[error("discovery's list: {0}")]
    Undecodable(#[source] simd_json::Error),
}
