//! The final response to a request, and the result of a request that a node has run.

use io_scheduler::Micros;

/// An object in the listing of a volume.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ObjectEntry {
    /// Name of the object; not necessarily UTF-8.
    pub name: Vec<u8>,
    /// Size of the object in bytes.
    pub size: u64,
}

/// The result of a request that a node has run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ResponseBody {
    /// The object's content. RESP2 nodes also reply to writes and listings with a value.
    Value(Vec<u8>),
    /// The object's size in bytes, or for a write, the bytes that an SFTP node has stored.
    Size(u64),
    /// The objects of a volume on one shard.
    Entries(Vec<ObjectEntry>),
    /// The node has no such object. Only SFTP nodes respond so, to a read or a STAT.
    NotFound,
}

/// Why a request was not accepted. The error text is sent to the client.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum InvalidRequest {
    /// A request with the same client request id is unfinished. A node could not distinguish the
    /// two and would run only one of them.
    #[error("the id is that of an open request")]
    DuplicateClientRequestId,
}

/// The one final response to a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Response {
    /// A node has run the request.
    Served(ResponseBody),
    /// The request was rejected. The client may retry it without harm: either it has not run, or
    /// it is idempotent.
    Rejected {
        /// Retry-After: how many microseconds the client should wait before a retry; 0 if there is
        /// no advice.
        retry_after: Micros,
    },
    /// The request was not accepted because of an error of the client.
    Invalid(InvalidRequest),
    /// The request failed and may have run.
    Failed,
    /// The request failed because there was no result in time; it may have run.
    TimedOut,
}
