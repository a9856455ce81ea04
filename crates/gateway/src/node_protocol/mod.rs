//! Protocols for storage nodes. They encode requests and decode replies.
//!
//! An implementation holds the protocol state of one connection and does no I/O: it appends to an
//! output buffer and consumes an input buffer, both owned by the connection.

mod error;
pub mod resp;
pub mod sftp;

pub use error::ProtocolError;

use crate::storage_request::{AttemptResult, StorageRequest};

/// The protocol of one node connection, which has at most one request in flight.
pub trait NodeProtocol {
    /// Appends the bytes to send before the first request. Called once, when the connection is
    /// established.
    fn start_handshake(&mut self, out: &mut Vec<u8>);

    /// Returns whether requests may be sent, that is, whether the handshake is complete.
    fn is_ready(&self) -> bool;

    /// Appends the first command of `request` to `out`. `time_limit_ms` is the node's time limit in
    /// milliseconds; it is sent if the protocol has a field for it. Called only while
    /// [`is_ready`](Self::is_ready) and with no request in flight.
    ///
    /// Returns how many of the appended bytes can be written without enabling the node to execute
    /// the request. Once more bytes have been written, the node may have executed it.
    fn encode_request(
        &mut self,
        request: &StorageRequest,
        time_limit_ms: i64,
        out: &mut Vec<u8>,
    ) -> usize;

    /// Returns how many bytes of the reply in progress count against the budget for large
    /// responses. For RESP2 this is the declared length of the value, or 0 before it is known. For
    /// SFTP it is the part of an object that READ commands have returned so far; the entries of a
    /// listing and incomplete packets are not counted.
    fn counted_response_bytes(&self) -> usize;

    /// Consumes received bytes from the front of `input`. Returns the result of the request in
    /// flight once its reply is complete, and `None` until then. Appends further commands of the
    /// same request to `out`.
    ///
    /// # Errors
    ///
    /// Returns [`ProtocolError`] if the bytes are not a valid reply, exceed the limits of the
    /// protocol, or arrive while no request is in flight. Bytes that arrive while no request is in
    /// flight would otherwise be mistaken for the reply to the next request.
    ///
    /// For SFTP, two unexpected packets are ignored: the reply to a CLOSE that was sent after its
    /// request was complete, and one packet that is decoded in the same call as the last reply of a
    /// request.
    fn decode(
        &mut self,
        input: &mut Vec<u8>,
        out: &mut Vec<u8>,
    ) -> Result<Option<AttemptResult>, ProtocolError>;
}
