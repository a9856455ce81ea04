//! Errors that are answered with a STATUS packet.
//!
//! The texts are sent to the client and must not change: clients rely on them. So some use other
//! terms than the code.

use crate::sftp_packet::{encode_status, MalformedPacket, RequestId, StatusCode};
use crate::storage_request::InvalidRequest;

/// When a client should retry a command that the memory budget for buffered objects has no capacity
/// for, in milliseconds.
const BUFFERS_FULL_RETRY_AFTER_MS: u32 = 500;

/// Why a command failed. The text is the STATUS message that the client gets.
#[derive(Debug, thiserror::Error)]
pub(super) enum SftpError {
    /// A field of the packet is missing or reaches beyond its end.
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
    /// OPEN with flags that would keep a part of the old object.
    #[error("objects are read, or written whole")]
    UnsupportedOpenFlags,
    /// A packet type that is not a supported command.
    #[error("not supported")]
    UnsupportedCommand,
    /// The client has reached the limit on open handles.
    #[error("too many open handles")]
    TooManyHandles,
    /// The handle is not open, or is of a kind that the command does not apply to.
    #[error("no such handle")]
    NoSuchHandle,
    /// The memory budget for the buffered objects of all clients is used up.
    #[error("busy: try again in {} ms", BUFFERS_FULL_RETRY_AFTER_MS)]
    BuffersFull,
    /// A write beyond the largest object size.
    #[error("larger than an object may be")]
    ObjectTooLarge,
    /// READ at or beyond the end of the object.
    #[error("end of file")]
    EndOfFile,
    /// READDIR after the last entry; the message is empty.
    #[error("")]
    EndOfDirectory,
    /// READDIR while an earlier READDIR on the same handle has not been answered.
    #[error("the listing is under way")]
    ListingInProgress,
    /// The request was rejected; the client may retry it.
    #[error("refused: try again in {retry_after_ms} ms")]
    Rejected {
        /// Time until the client should retry, in milliseconds, rounded up.
        retry_after_ms: f64,
    },
    /// The dispatcher did not accept the request.
    #[error(transparent)]
    Invalid(#[from] InvalidRequest),
    /// The request failed.
    #[error("failed")]
    Failed,
    /// The request was not answered before its deadline.
    #[error("timed out")]
    TimedOut,
}

impl SftpError {
    /// The status code for the error.
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

    /// Encodes the STATUS reply to the command `request_id`.
    pub(super) fn to_status(&self, request_id: RequestId) -> Vec<u8> {
        encode_status(request_id, self.code(), &self.to_string())
    }
}
