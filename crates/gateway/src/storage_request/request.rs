//! A client request, independent of the protocol by which it arrived.

use crate::hex_id::HexDigits;
use io_scheduler::{ClassIndex, Micros, ObjectKey, PlanIndex, Shard, Units, VolumeId};

/// Maximum size of a value that is forwarded to a node, in bytes.
pub const MAX_VALUE_BYTES: usize = 64 << 10;

/// What a request asks a node to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Operation {
    /// Read an object.
    Read,
    /// Write an object.
    Write,
    /// Return the size of an object.
    Stat,
    /// List the names of a volume's objects on one shard.
    List,
}

/// One request of a client.
#[derive(Clone, Debug)]
pub struct StorageRequest {
    /// The operation to run.
    pub operation: Operation,
    /// The object.
    pub object: ObjectKey,
    /// The id of the object as it is sent to RESP2 nodes: as a RESP2 client wrote it.
    pub object_digits: HexDigits,
    /// Name of the object; `None` if the client's protocol does not name objects.
    pub object_name: Option<Box<str>>,
    /// The volume that the object belongs to.
    pub volume: VolumeId,
    /// Id of the request, chosen by a RESP2 client or generated for an SFTP client. RESP2 nodes
    /// receive it too. It must be unique among the unfinished requests.
    pub client_request_id: Box<str>,
    /// Class of the request.
    pub class: ClassIndex,
    /// Plan of the volume that the object belongs to.
    pub plan: PlanIndex,
    /// Size of the request in units.
    pub units: Units,
    /// Shard that stores the object; `None` for a new object, which any node can store.
    pub shard: Option<Shard>,
    /// Number of gateways through which requests of the volume arrive.
    pub host_count: f64,
    /// How long the client waits for the response, in microseconds.
    pub client_timeout: Micros,
    /// Content of the object for a write, otherwise empty.
    pub body: Vec<u8>,
    /// The parameter list for RESP2 nodes.
    pub parameters: RequestParameters,
}

impl StorageRequest {
    /// Returns the size in bytes of the texts and the body, which a client may make long.
    #[must_use]
    pub fn buffered_bytes(&self) -> usize {
        let name_bytes = self.object_name.as_ref().map_or(0, |name| name.len());
        let list_bytes = self.parameters.before_timeout.len() + self.parameters.after_timeout.len();
        self.body.len() + list_bytes + name_bytes + self.client_request_id.len()
    }
}

/// The parameter list for RESP2 nodes, as a RESP2 client sent it or as generated for an SFTP
/// client, split around the value of its timeout. Both parts are sent to the node unchanged, with
/// the remaining time as the value between them.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RequestParameters {
    /// The part before the value of the timeout.
    pub before_timeout: Box<str>,
    /// The part after the value of the timeout.
    pub after_timeout: Box<str>,
}
