//! Errors in the response to a watch on the endpoint list.

/// An error in the discovery service's response to a watch.
#[derive(Debug, thiserror::Error)]
pub enum WatchError {
    /// The status code is not 200. Contains the status line in lower case.
    #[error("unexpected response status '{0}'")]
    Status(String),
    /// The response is not well-formed HTTP/1.1.
    #[error("invalid HTTP/1.1 response: {0}")]
    Framing(#[from] FramingError),
    /// An object is longer than the limit.
    #[error("JSON object longer than {max_bytes} bytes")]
    ObjectTooLong {
        /// Maximum length, in bytes.
        max_bytes: usize,
    },
    /// An object is nested more deeply than the limit.
    #[error("JSON object nested more than {max_depth} levels deep")]
    ObjectTooDeep {
        /// Maximum nesting depth.
        max_depth: usize,
    },
    /// The body contains something other than JSON objects.
    #[error("response body is not a stream of JSON objects")]
    NotAnObject,
    /// An object cannot be decoded as an update of the endpoint list.
    #[error("invalid endpoint list update: {0}")]
    Undecodable(#[source] simd_json::Error),
}

/// An error in the HTTP/1.1 framing of a response.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum FramingError {
    /// The response head or a chunk size line exceeds its limit.
    #[error("response head or chunk size line longer than {max_bytes} bytes")]
    LineTooLong {
        /// Maximum length of the head or line, in bytes.
        max_bytes: usize,
    },
    /// A chunk size line does not start with a hexadecimal number.
    #[error("invalid chunk size '{0}'")]
    InvalidChunkSize(String),
    /// The data of a chunk is not followed by CRLF, so it is longer than its stated size.
    #[error("missing CRLF after the data of a chunk")]
    MissingChunkEnd,
    /// The value of Content-Length is not a number.
    #[error("invalid Content-Length '{0}'")]
    InvalidContentLength(String),
    /// The body has a transfer coding other than chunked.
    #[error("unsupported Transfer-Encoding '{0}'")]
    UnknownTransferCoding(String),
}
