//! Errors of a watch on the endpoint list.

/// Why discovery's response to a watch cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum WatchError {
    /// The status is not 200. Contains the status line in lower case.
    #[error("discovery responded '{0}'")]
    Status(String),
    /// The response is not well-formed HTTP/1.1.
    #[error("discovery sent invalid HTTP/1.1: {0}")]
    Framing(#[from] FramingError),
    /// An object exceeds the limit on its length.
    #[error("discovery sent an object that is too long: more than {max_bytes} bytes")]
    ObjectTooLong {
        /// Largest length allowed, in bytes.
        max_bytes: usize,
    },
    /// An object exceeds the limit on its nesting depth.
    #[error("discovery sent an object that is nested more than {max_depth} levels deep")]
    ObjectTooDeep {
        /// Deepest nesting allowed.
        max_depth: usize,
    },
    /// The body contains something other than JSON objects.
    #[error("discovery's list: not a JSON object")]
    NotAnObject,
    /// An object is not an update of the endpoint list.
    #[error("discovery's list: {0}")]
    Undecodable(#[source] simd_json::Error),
}

/// What is wrong with the framing of a response.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum FramingError {
    /// The head or a chunk size line does not end within its limit.
    #[error("no line end within {max_bytes} bytes")]
    LineTooLong {
        /// Longest head or line allowed, in bytes.
        max_bytes: usize,
    },
    /// The line does not start with the size of a chunk as a hexadecimal number.
    #[error("'{0}' is not the size of a chunk")]
    InvalidChunkSize(String),
    /// The data of a chunk is longer than its size states.
    #[error("no line end after the data of a chunk")]
    MissingChunkEnd,
    /// The value of Content-Length is not a number.
    #[error("'{0}' is not a Content-Length")]
    InvalidContentLength(String),
    /// The body is encoded in another way than by chunks.
    #[error("the Transfer-Encoding '{0}' is not known")]
    UnknownTransferCoding(String),
}
