//! The names that the RESP2 protocol has on the wire, mapped to the terms of the code.
//!
//! This is the only place that states them: the client protocol decodes them, the node protocol
//! encodes the same ones, and nothing behind the protocols knows them.

/// Names of commands.
pub(crate) mod command {
    /// Reads an object.
    pub(crate) const READ: &[u8] = b"IO.IN";
    /// Writes an object.
    pub(crate) const WRITE: &[u8] = b"IO.OUT";
}

/// Names in a request's list of parameters. `r`, which marks a client's retry, is not used: like
/// unknown names it is accepted, and forwarded with the list.
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
    /// Part of the volume's provisioned rate that was used, in percent.
    pub(crate) const UTILIZATION: &str = "used";
    /// Units that the volume got from the node through other gateways.
    pub(crate) const REMOTE_UNITS: &str = "cost";
}

/// The name of the error with which an overloaded side rejects a request.
pub(crate) const BUSY_ERROR: &str = "BUSY";
