//! Commands whose requests are in flight.

use super::listing::PendingListing;
use super::path::ObjectTarget;
use crate::sftp_packet::RequestId;

/// A command whose requests are in flight.
pub(super) struct PendingCommand {
    /// The request id that the client assigned to the command. The reply repeats it.
    pub(super) request_id: RequestId,
    /// The operation that the responses complete.
    pub(super) operation: PendingOperation,
}

/// The SFTP operation of a command, with the data needed to encode its reply.
pub(super) enum PendingOperation {
    /// OPEN of an object for reading.
    Open(ObjectTarget),
    /// STAT or LSTAT of an object.
    Stat(ObjectTarget),
    /// CLOSE of an upload.
    CloseUpload {
        /// The uploaded object.
        target: ObjectTarget,
        /// Size of the object in bytes.
        size: u64,
    },
    /// The first READDIR on the handle of a volume.
    List(PendingListing),
}
