//! The final response to a request, and the result that a node returned.

use io_scheduler::Micros;

/// An object in a listing of a volume.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ObjectEntry {
    /// Name of the object; not necessarily UTF-8.
    pub name: Vec<u8>,
    /// Size of the object in bytes.
    pub size: u64,
}

/// The result that a node returned for a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ResponseBody {
    /// The object's content. RESP2 nodes also reply to writes and listings with a value.
    Value(Vec<u8>),
    /// The size of the object in bytes or, for a write, the number of bytes that an SFTP node has
    /// stored.
    Size(u64),
    /// The objects of a volume on one shard.
    Entries(Vec<ObjectEntry>),
    /// The object does not exist on the node. Only SFTP nodes return this, for a read or a STAT.
    NotFound,
}

/// Why a request is invalid. The error text is sent to the client.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum InvalidRequest {
    /// An unfinished request has the same client request id. A node could not distinguish the two
    /// requests and would execute only one of them.
    #[error("the id is that of an open request")]
    DuplicateClientRequestId,
    /// A finished request that a node may have executed has the same client request id, and must
    /// not be executed twice.
    #[error("the id is that of a request that may have run")]
    RepeatedClientRequestId,
}

/// The final response to a request. Each request gets exactly one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Response {
    /// A node has executed the request.
    Served(ResponseBody),
    /// The request was rejected. The client may safely retry it: either it was not executed, or
    /// executing it again has no further effect.
    Rejected {
        /// Retry-After: how long the client should wait before it retries, in microseconds; 0 if no
        /// wait is advised.
        retry_after: Micros,
    },
    /// The request is invalid because of an error of the client.
    Invalid(InvalidRequest),
    /// The request failed. It may have been executed.
    Failed,
    /// The request failed because no result arrived in time. It may have been executed.
    TimedOut,
}

impl Response {
    /// Returns the name of the response for log lines, without its content.
    #[must_use]
    pub fn name(&self) -> &'static str {
        match self {
            Response::Served(_) => "served",
            Response::Rejected { .. } => "rejected",
            Response::Invalid(_) => "invalid",
            Response::Failed => "failed",
            Response::TimedOut => "timed out",
        }
    }
}
