//! The protocols towards storage nodes: encoding of requests and decoding of replies.
//!
//! An implementation holds the protocol state of one connection and does no I/O: it appends to an
//! output buffer and consumes an input buffer, both owned by the event loop.

mod error;
pub mod resp;
pub mod sftp;

pub use error::ProtocolError;

use crate::storage_request::{AttemptResult, StorageRequest};

/// A node's protocol on one connection, which has at most one request in flight.
pub trait NodeProtocol {
    /// Appends the bytes to send before the first request. Called once, when the connection is
    /// established.
    fn start_handshake(&mut self, out: &mut Vec<u8>);

    /// Whether requests may be sent, that is, whether the handshake is complete.
    fn ready(&self) -> bool;

    /// Appends the first bytes of `request` to `out`, with `time_limit_ms` milliseconds as the
    /// node's time limit where the protocol states one. Called only while [`ready`](Self::ready)
    /// and with no request in flight.
    ///
    /// Returns how many of the appended bytes can be written before the node can execute the
    /// request: once more than that are written, the node may have executed it.
    fn encode_request(
        &mut self,
        request: &StorageRequest,
        time_limit_ms: i64,
        out: &mut Vec<u8>,
    ) -> usize;

    /// Bytes of the reply that is being received that count against the budget of large
    /// responses. For RESP2 this is the announced length of the value, 0 before it is known. For
    /// SFTP it is the part of an object that READ commands have returned so far; the entries of a
    /// listing and an incomplete packet are not counted.
    fn buffered_bytes(&self) -> usize;

    /// Consumes received bytes from the front of `input`. Returns the result of the request in
    /// flight once its reply is complete, and `None` until then. Further commands of the same
    /// request go to `out`.
    ///
    /// # Errors
    ///
    /// [`ProtocolError`] if the bytes are not a reply of this protocol or exceed its bounds, or if
    /// they arrive while no request is in flight, as they would be mistaken for the reply to the
    /// next request. SFTP has two exceptions: the reply to a CLOSE that was sent after the end of
    /// its request is ignored, and so is one packet behind the last reply of a request if both are
    /// decoded by the same call.
    fn decode(
        &mut self,
        input: &mut Vec<u8>,
        out: &mut Vec<u8>,
    ) -> Result<Option<AttemptResult>, ProtocolError>;
}
