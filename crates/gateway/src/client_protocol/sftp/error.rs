//! Errors that are sent to the client in a STATUS reply.
//!
//! The error messages are sent to clients, which rely on them, so they must not change. For this
//! reason some of them use other terms than the code.

use crate::sftp_packet::{encode_status, MalformedPacket, RequestId, StatusCode};
use crate::storage_request::InvalidRequest;

/// Time in milliseconds after which a client should retry a command that would exceed the memory
/// budget for buffered objects.
const BUFFERS_FULL_RETRY_AFTER_MS: u32 = 500;

/// The reason why a command failed. Its text is the message of the STATUS reply.
#[derive(Debug, thiserror::Error)]
pub(super) enum SftpError {
    /// A field of the packet is missing or extends past the end of the packet.
    #[error(transparent)]
    MalformedPacket(#[from] MalformedPacket),
    /// The path is invalid, its volume is not configured, or the storage node has no such object.
    #[error("no such file")]
    NoSuchFile,
    /// OPEN of a directory.
    #[error("is a folder")]
    IsDirectory,
    /// OPENDIR of an object.
    #[error("not a folder")]
    NotDirectory,
    /// OPEN with unsupported flags, for example flags that would keep part of the old object.
    #[error("objects are read, or written whole")]
    UnsupportedOpenFlags,
    /// A packet type that is not a supported command.
    #[error("not supported")]
    UnsupportedCommand,
    /// The client already has the maximum number of open handles.
    #[error("too many open handles")]
    TooManyHandles,
    /// The handle is not open, or the command does not apply to its kind.
    #[error("no such handle")]
    NoSuchHandle,
    /// Buffering the data would exceed the memory budget that all clients share.
    #[error("busy: try again in {} ms", BUFFERS_FULL_RETRY_AFTER_MS)]
    BuffersFull,
    /// A WRITE past the maximum upload size.
    #[error("larger than an object may be")]
    ObjectTooLarge,
    /// READ at or past the end of the object.
    #[error("end of file")]
    EndOfFile,
    /// READDIR after the last entry. The message is empty.
    #[error("")]
    EndOfDirectory,
    /// READDIR while an earlier READDIR on the same handle is still waiting for its listing.
    #[error("the listing is under way")]
    ListingInProgress,
    /// The request was rejected; the client may retry it.
    #[error("refused: try again in {retry_after_ms} ms")]
    Rejected {
        /// Time until the client should retry, in milliseconds, rounded up.
        retry_after_ms: f64,
    },
    /// The dispatcher rejected the request as invalid.
    #[error(transparent)]
    Invalid(#[from] InvalidRequest),
    /// The request failed.
    #[error("failed")]
    Failed,
    /// No response arrived before the request's deadline.
    #[error("timed out")]
    TimedOut,
}

impl SftpError {
    /// Returns the status code for the error.
    fn code(&self) -> StatusCode {
        match self {
            SftpError::MalformedPacket(_) => StatusCode::BadMessage,
            SftpError::NoSuchFile => StatusCode::NoSuchFile,
            SftpError::UnsupportedOpenFlags | SftpError::UnsupportedCommand => {
                StatusCode::Unsupported
            }
            SftpError::EndOfFile | SftpError::EndOfDirectory => StatusCode::Eof,
            SftpError::IsDirectory
            | SftpError::NotDirectory
            | SftpError::TooManyHandles
            | SftpError::NoSuchHandle
            | SftpError::BuffersFull
            | SftpError::ObjectTooLarge
            | SftpError::ListingInProgress
            | SftpError::Rejected { .. }
            | SftpError::Invalid(_)
            | SftpError::Failed
            | SftpError::TimedOut => StatusCode::Failure,
        }
    }

    /// Encodes the error as the STATUS reply to the command `request_id`.
    pub(super) fn to_status(&self, request_id: RequestId) -> Vec<u8> {
        encode_status(request_id, self.code(), &self.to_string())
    }
}
