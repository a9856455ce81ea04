//! Errors that are answered with a STATUS packet.

use crate::dispatcher::InvalidRequest;
use crate::sftp_packet::{status, Code, Malformed};

/// Why a command failed. The text is the STATUS message that the client gets.
#[derive(Debug, thiserror::Error)]
pub(super) enum SftpError {
    /// A field of the packet is missing or reaches beyond its end.
    #[error(transparent)]
    Malformed(#[from] Malformed),
    /// The path names nothing, or the storage node has no such object.
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
    /// The client has as many handles open as it may.
    #[error("too many open handles")]
    TooManyHandles,
    /// The handle is not open, or not for this kind of command.
    #[error("no such handle")]
    NoSuchHandle,
    /// The memory for buffered objects of all clients is in use.
    #[error("busy: try again in 500 ms")]
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
    /// READDIR while the storage nodes' answers to the one before are missing.
    #[error("the listing is under way")]
    ListingInProgress,
    /// The request was rejected and may be repeated.
    #[error("refused: try again in {retry_after_ms} ms")]
    Rejected {
        /// When to repeat it, in milliseconds from now, rounded up.
        retry_after_ms: f64,
    },
    /// The dispatcher did not accept the request.
    #[error(transparent)]
    Invalid(#[from] InvalidRequest),
    /// The request failed.
    #[error("failed")]
    Failed,
    /// The request failed because its time ran out.
    #[error("timed out")]
    TimedOut,
}

impl SftpError {
    /// The status code for the error.
    fn code(&self) -> Code {
        match self {
            SftpError::Malformed(_) => Code::BadMessage,
            SftpError::NoSuchFile => Code::NoSuchFile,
            SftpError::UnsupportedOpenFlags | SftpError::UnsupportedCommand => Code::Unsupported,
            SftpError::EndOfFile | SftpError::EndOfDirectory => Code::Eof,
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
            | SftpError::TimedOut => Code::Failure,
        }
    }

    /// Encodes the STATUS reply to the command `request_id`.
    pub(super) fn to_status(&self, request_id: u32) -> Vec<u8> {
        status(request_id, self.code(), &self.to_string())
    }
}
