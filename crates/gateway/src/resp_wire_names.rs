//! Maps the names of the RESP2 wire format to the terms of the code.
//!
//! These names are defined only here: the client protocol decodes them and the node protocol
//! encodes them. The other modules use the terms of the code.

/// Names of commands.
pub(crate) mod command {
    /// Reads an object.
    pub(crate) const READ: &[u8] = b"IO.IN";
    /// Writes an object.
    pub(crate) const WRITE: &[u8] = b"IO.OUT";
}

/// Names in the parameter list of a request. `r`, which marks a client's retry, has no constant:
/// like any unknown name, it is accepted and forwarded with the list.
pub(crate) mod parameter {
    /// The class of the request.
    pub(crate) const CLASS: &str = "c";
    /// The plan of the volume.
    pub(crate) const PLAN: &str = "t";
    /// How long the sender waits for the reply, in milliseconds.
    pub(crate) const TIMEOUT: &str = "d";
    /// The id of the volume.
    pub(crate) const VOLUME: &str = "volume";
    /// The size of the request in units.
    pub(crate) const UNITS: &str = "units";
    /// The shard that stores the object; [`UNASSIGNED_SHARD`] for a new object.
    pub(crate) const SHARD: &str = "shard";
    /// The value of [`SHARD`] for a new object, which has no shard yet.
    pub(crate) const UNASSIGNED_SHARD: &str = "-1";
    /// The number of gateways through which the requests of the volume arrive.
    pub(crate) const HOSTS: &str = "hosts";
}

/// Names in the usage report of a node's reply.
pub(crate) mod usage_report {
    /// Share of the volume's provisioned rate that was used, in percent.
    pub(crate) const UTILIZATION: &str = "used";
    /// Units that the volume got from the node through other gateways.
    pub(crate) const REMOTE_UNITS: &str = "cost";
}

/// Name of the error reply by which an overloaded gateway or node rejects a request.
pub(crate) const BUSY_ERROR: &str = "BUSY";
