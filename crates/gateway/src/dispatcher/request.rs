//! Requests and responses as the client protocols and the node protocols exchange them with the dispatcher,
//! independent of any wire format.

use crate::connection_token::ConnectionToken;
use io_scheduler::{Micros, Outcome};
use thiserror::Error;

/// What a request asks a node to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Operation {
    /// Read an object.
    Read,
    /// Write an object.
    Write,
    /// State the size of an object.
    Stat,
    /// List the names of a volume's objects on one shard.
    List,
}

/// One request of a client.
#[derive(Clone, Debug)]
pub struct StorageRequest {
    /// The operation to run.
    pub operation: Operation,
    /// The object, by its number.
    pub object: u64,
    /// Name of the object, if the client's protocol names objects.
    pub object_name: Option<Box<str>>,
    /// The volume that the object belongs to.
    pub volume: u64,
    /// The client's id of the request, which is also sent to the nodes. Unique among the requests in flight.
    pub client_request_id: Box<str>,
    /// Class of the request, an index into the deployment settings.
    pub class: usize,
    /// Plan of the volume, an index into the deployment settings.
    pub plan: usize,
    /// Size of the request in units of service.
    pub units: f64,
    /// Shard that stores the object; `None` for a new object, which any node may take.
    pub shard: Option<u64>,
    /// Number of gateways through which the requests of the volume arrive.
    pub hosts: f64,
    /// How long the client waits for the response, in microseconds.
    pub client_timeout: Micros,
    /// Whether the client marked the request as a retry.
    pub is_retry: bool,
    /// Content of the object for a write, else empty.
    pub body: Vec<u8>,
    /// The client's list of parameters.
    pub parameters: RequestParameters,
}

/// The client's list of parameters, split around the value of its timeout. A node gets both parts unchanged,
/// with the remaining time as the value between them.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RequestParameters {
    /// The list up to the value of the timeout.
    pub before_timeout: Box<str>,
    /// The list after the value of the timeout.
    pub after_timeout: Box<str>,
}

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
    Names(Vec<ObjectEntry>),
    /// The node has no such object.
    NotFound,
}

/// Why a request was not accepted. The error text is sent to the client.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum InvalidRequest {
    /// A request with the same client request id is in flight. A node could not distinguish the two and would
    /// run only one of them.
    #[error("the id is that of an open request")]
    DuplicateClientRequestId,
}

/// The one final response to a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Response {
    /// A node has run the request.
    Served(ResponseBody),
    /// The request was rejected. The client may retry it without harm: either it has not run, or it is
    /// idempotent.
    Rejected {
        /// Retry-After: how many microseconds the client should wait before a retry; 0 if there is no advice.
        retry_after: Micros,
    },
    /// The request was not accepted because of an error of the client.
    Invalid(InvalidRequest),
    /// The request failed and may have run.
    Failed,
    /// The request failed because there was no result in time; it may have run.
    TimedOut,
}

/// How an attempt at a node ended.
#[derive(Clone, Debug)]
pub struct AttemptResult {
    /// The outcome that is reported to the scheduler.
    pub outcome: Outcome,
    /// The node's result, if the node has served the request.
    pub body: Option<ResponseBody>,
    /// Units of service that the volume got from the node through other gateways since the node's last
    /// response to this gateway; 0 if not reported.
    pub remote_units: f64,
    /// Part of the volume's provisioned rate that was served in the last report period, over all gateways and
    /// nodes; `None` if not reported.
    pub utilization: Option<f64>,
}

impl AttemptResult {
    /// A result with no body and no usage report.
    #[must_use]
    pub fn without_body(outcome: Outcome) -> AttemptResult {
        AttemptResult {
            outcome,
            body: None,
            remote_units: 0.0,
            utilization: None,
        }
    }
}

/// The destination of a response: a place among the replies of a client connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ReplySlot {
    /// Token of the client's connection.
    pub connection: ConnectionToken,
    /// Position among the replies of that connection.
    pub slot: u64,
}
