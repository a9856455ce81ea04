//! Names that the RESP2 protocol uses on the wire, as constants named in the terms of the code.
//!
//! They are defined only here. The client protocol decodes them and the node protocol encodes the
//! same ones; code outside the protocols does not use them.

/// Command names.
pub(crate) mod command {
    /// Reads an object.
    pub(crate) const READ: &[u8] = b"IO.IN";
    /// Writes an object.
    pub(crate) const WRITE: &[u8] = b"IO.OUT";
    /// A barrier: a command without effect, whose reply shows that all earlier commands have been
    /// replied to.
    pub(crate) const BARRIER: &[&[u8]] = &[b"SELECT", b"0"];
}

/// Names in the parameter list of a request. The parameter `r`, which marks a client's retry, is
/// not evaluated: like an unknown parameter, it is accepted and forwarded with the list.
pub(crate) mod parameter {
    /// Class of the request.
    pub(crate) const CLASS: &str = "c";
    /// Plan of the volume.
    pub(crate) const PLAN: &str = "t";
    /// Time in milliseconds that the sender waits for the reply.
    pub(crate) const TIMEOUT: &str = "d";
    /// Id of the volume.
    pub(crate) const VOLUME: &str = "volume";
    /// Size of the request in units.
    pub(crate) const UNITS: &str = "units";
    /// Shard that stores the object, or [`UNASSIGNED_SHARD`] for a new object.
    pub(crate) const SHARD: &str = "shard";
    /// Value of [`SHARD`] for a new object, which has no shard yet.
    pub(crate) const UNASSIGNED_SHARD: &str = "-1";
    /// Number of gateways that receive requests for the volume.
    pub(crate) const HOSTS: &str = "hosts";
}

/// Names in the usage report of a node's reply.
pub(crate) mod usage_report {
    /// Percentage of the volume's provisioned rate that was used.
    pub(crate) const UTILIZATION: &str = "used";
    /// Units that the node served for the volume through other gateways.
    pub(crate) const REMOTE_UNITS: &str = "cost";
}

/// Name of the error with which an overloaded gateway or node rejects a request.
pub(crate) const BUSY_ERROR: &str = "BUSY";

/// Name of the error with which a node replies to a request that has failed.
pub(crate) const FAILED_ERROR: &str = "ERR";
