//! Commands whose requests are in flight.

use super::listing::PendingListing;
use super::path::ObjectTarget;
use crate::sftp_packet::RequestId;

/// A command whose requests are in flight.
pub(super) struct PendingCommand {
    /// The request id that the client gave the command; the reply repeats it.
    pub(super) request_id: RequestId,
    /// What the responses complete.
    pub(super) operation: PendingOperation,
}

/// The operation that the responses to a command's requests complete.
pub(super) enum PendingOperation {
    /// OPEN of an object to read.
    Open(ObjectTarget),
    /// STAT or LSTAT of an object.
    Stat(ObjectTarget),
    /// CLOSE of an upload.
    Store {
        /// The object.
        target: ObjectTarget,
        /// Size of the object in bytes.
        size: u64,
    },
    /// READDIR of a volume.
    List(PendingListing),
}
