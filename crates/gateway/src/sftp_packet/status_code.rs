//! The status codes of `STATUS` replies.

/// The status codes of `SSH_FXP_STATUS` that the gateway sends or recognizes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u32)]
pub enum StatusCode {
    /// `SSH_FX_OK`: the command succeeded.
    Ok = 0,
    /// `SSH_FX_EOF`: no more data or directory entries.
    Eof = 1,
    /// `SSH_FX_NO_SUCH_FILE`: the path does not exist.
    NoSuchFile = 2,
    /// `SSH_FX_PERMISSION_DENIED`: the command is not permitted.
    PermissionDenied = 3,
    /// `SSH_FX_FAILURE`: an error without a more specific code.
    Failure = 4,
    /// `SSH_FX_BAD_MESSAGE`: the packet was malformed.
    BadMessage = 5,
    /// `SSH_FX_OP_UNSUPPORTED`: the command is not supported.
    Unsupported = 8,
}

impl StatusCode {
    /// All variants, for [`StatusCode::from_number`].
    const ALL: [StatusCode; 7] = [
        StatusCode::Ok,
        StatusCode::Eof,
        StatusCode::NoSuchFile,
        StatusCode::PermissionDenied,
        StatusCode::Failure,
        StatusCode::BadMessage,
        StatusCode::Unsupported,
    ];

    /// Returns the status code with this number; `None` if this enum does not contain it.
    #[must_use]
    pub fn from_number(number: u32) -> Option<StatusCode> {
        Self::ALL.into_iter().find(|code| *code as u32 == number)
    }
}
