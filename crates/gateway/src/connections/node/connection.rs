//! The state of one connection to a storage node.

use super::pool::NodeAddress;
use crate::connection_token::ConnectionToken;
use crate::connections::connection_timer::ConnectionTimer;
use crate::connections::counted_bytes::CountedBytes;
use crate::connections::socket::{Interest, Socket, StreamStatus};
use crate::context::MICROS_PER_MILLISECOND;
use crate::endpoint::Protocol;
use crate::node_protocol::{resp, sftp, NodeProtocol, ProtocolError};
use crate::storage_request::{AttemptId, AttemptLimits, AttemptResult, StorageRequest};
use crate::timer_queue::TimerQueue;
use io_scheduler::{Micros, NodeId};
use std::io;
use std::sync::Arc;

/// Maximum input in bytes that is buffered for a connection, in addition to the announced length of
/// a large response.
pub(super) const MAX_BUFFERED_INPUT_BYTES: usize = 80 << 10;

/// A connection to a node. It has at most one request in flight, so that a request can be cancelled
/// by closing its connection without affecting other requests.
pub(super) struct NodeConnection {
    /// The TCP stream with its input and output buffers.
    pub(super) socket: Socket,
    /// The node that the connection leads to.
    pub(super) node: NodeId,
    /// The address to which the connection was opened. Differs from the pool's address if the node
    /// has changed its address since then.
    pub(super) address: NodeAddress,
    /// Encodes requests and decodes responses.
    pub(super) protocol: Box<dyn NodeProtocol>,
    /// Whether the TCP connection is established. The protocol's handshake may still be in
    /// progress.
    pub(super) is_connected: bool,
    /// The attempt in progress on the connection; `None` if there is none.
    pub(super) in_flight: Option<InFlightAttempt>,
    /// The connect timeout or idle timeout. Cancelled once a request is encoded.
    pub(super) timer: ConnectionTimer,
    /// The connection's contribution to [`super::NodeConnections::large_response_bytes`].
    pub(super) counted_large_response_bytes: CountedBytes,
    /// When the connection was last put into its pool; `None` if it never was.
    pub(super) idle_since: Option<Micros>,
    /// How long the connection was idle before its current request, in microseconds.
    pub(super) idle_before_request: Micros,
}

/// The parameters of an attempt.
pub(crate) struct AttemptSpec {
    /// Identifies the attempt in reports to the dispatcher.
    pub(crate) id: AttemptId,
    /// The node to send the request to.
    pub(crate) node: NodeId,
    /// The times that limit the attempt.
    pub(crate) limits: AttemptLimits,
    /// The request to send.
    pub(crate) request: Arc<StorageRequest>,
}

/// An attempt in progress on a connection.
pub(super) struct InFlightAttempt {
    /// The parameters of the attempt.
    pub(super) attempt: AttemptSpec,
    /// Offset of the request in the connection's output stream, in bytes. `None` until the request
    /// is encoded.
    start_offset: Option<u64>,
    /// Offset in the connection's output stream, in bytes. Once [`Socket::bytes_sent`] exceeds it,
    /// the node may have executed the request. `None` until the request is encoded.
    execution_offset: Option<u64>,
    /// Whether the node may have executed the request, of which the dispatcher has been notified;
    /// see [`crate::dispatcher::Dispatcher::record_may_have_executed`].
    pub(super) may_have_executed: bool,
    /// When the connection was assigned to the attempt.
    pub(super) started_at: Micros,
}

impl InFlightAttempt {
    /// Creates the state of an attempt to which a connection is assigned at the time `now`.
    pub(super) fn new(attempt: AttemptSpec, now: Micros) -> InFlightAttempt {
        InFlightAttempt {
            attempt,
            start_offset: None,
            execution_offset: None,
            may_have_executed: false,
            started_at: now,
        }
    }

    /// Returns whether the request has been encoded. It may have been sent in part or completely.
    pub(super) fn is_encoded(&self) -> bool {
        self.execution_offset.is_some()
    }
}

impl NodeConnection {
    /// Creates the state of a connection that is being established. A value of more than
    /// `max_value_bytes` in a response is a protocol error.
    pub(super) fn new(
        socket: Socket,
        node: NodeId,
        address: NodeAddress,
        max_value_bytes: usize,
    ) -> NodeConnection {
        let protocol: Box<dyn NodeProtocol> = match address.protocol {
            Protocol::Resp2 => Box::new(resp::RespProtocol::new(max_value_bytes)),
            Protocol::Sftp => Box::new(sftp::SftpProtocol::new(max_value_bytes)),
        };
        NodeConnection {
            timer: ConnectionTimer::new(socket.token()),
            socket,
            node,
            address,
            protocol,
            is_connected: false,
            in_flight: None,
            counted_large_response_bytes: CountedBytes::default(),
            idle_since: None,
            idle_before_request: 0,
        }
    }

    /// Returns the connection's token.
    pub(super) fn token(&self) -> ConnectionToken {
        self.socket.token()
    }

    /// Returns the microseconds since the connection was last put into its pool; 0 if it never was.
    pub(super) fn idle_for(&self, now: Micros) -> Micros {
        self.idle_since.map_or(0, |since| now - since)
    }

    /// Returns whether requests may be written, that is, whether the TCP connection is established
    /// and the protocol's handshake is complete.
    pub(super) fn is_ready(&self) -> bool {
        self.is_connected && self.protocol.is_ready()
    }

    /// Returns the events to wait for.
    pub(super) fn interest(&self) -> Interest {
        if self.is_connected {
            Interest::Read
        } else {
            Interest::Connect
        }
    }

    /// Checks whether the TCP connection is established, and if it is, starts the protocol's
    /// handshake on the first such call. Returns false while the connection is still being
    /// established.
    pub(super) fn finish_connecting(&mut self) -> io::Result<bool> {
        if !self.is_connected {
            if !self.socket.is_connected()? {
                return Ok(false);
            }
            self.is_connected = true;
            self.protocol.start_handshake(self.socket.output());
        }
        Ok(true)
    }

    /// Returns whether the connection can be used for another request. Reads the available input to
    /// find out: the node must not have closed the connection, nor sent data without a request,
    /// which would be mistaken for the next response.
    pub(super) fn is_reusable(&mut self) -> bool {
        let Ok(StreamStatus::Open) = self.socket.read_available(MAX_BUFFERED_INPUT_BYTES) else {
            return false;
        };
        self.socket.input.is_empty()
            || matches!(
                self.protocol
                    .decode(&mut self.socket.input, &mut Vec::new()),
                Ok(None)
            )
    }

    /// Reads the available input. A large response may exceed [`MAX_BUFFERED_INPUT_BYTES`].
    pub(super) fn read_available(&mut self) -> io::Result<StreamStatus> {
        let max_buffered = MAX_BUFFERED_INPUT_BYTES + self.counted_large_response_bytes.get();
        self.socket.read_available(max_buffered)
    }

    /// Decodes the buffered input. Returns the result of the attempt once its response is complete.
    /// If the request consists of several commands, the next ones are appended to the output
    /// buffer.
    pub(super) fn decode_input(&mut self) -> Result<Option<AttemptResult>, ProtocolError> {
        if self.socket.input.is_empty() {
            return Ok(None);
        }
        let mut output = Vec::new();
        let result = self.protocol.decode(&mut self.socket.input, &mut output);
        self.socket.output().append(&mut output);
        result
    }

    /// Returns whether the connection has an attempt of whose request no byte has been sent.
    pub(super) fn has_unsent_request(&self) -> bool {
        self.in_flight.as_ref().is_some_and(|in_flight| {
            let start_offset = in_flight.start_offset;
            start_offset.is_none_or(|offset| self.socket.bytes_sent <= offset)
        })
    }

    /// Encodes the request of the attempt into the output buffer. Cancels the connection's timer
    /// (connect or idle timeout), because from now on the timeout of the attempt applies.
    pub(super) fn encode_request(&mut self, now: Micros, timers: &mut TimerQueue) {
        let Some(in_flight) = &mut self.in_flight else {
            return;
        };
        let attempt = &in_flight.attempt;
        let wait_ms = (attempt.limits.times_out_at - now) / MICROS_PER_MILLISECOND;
        let start_offset = self.socket.bytes_sent + self.socket.unsent_bytes() as u64;
        let output = self.socket.output();
        let bytes_before_execution =
            self.protocol
                .encode_request(&attempt.request, wait_ms, output);
        in_flight.start_offset = Some(start_offset);
        in_flight.execution_offset = Some(start_offset + bytes_before_execution as u64);
        self.timer.cancel(timers);
    }

    /// Writes pending output, if the TCP connection is established.
    pub(super) fn flush(&mut self) -> io::Result<()> {
        if !self.is_connected {
            return Ok(());
        }
        self.socket.flush()
    }

    /// Checks whether enough of the request has been sent that the node may have executed it.
    /// Returns the attempt the first time that this is so, and `None` otherwise.
    pub(super) fn mark_may_have_executed(&mut self) -> Option<AttemptId> {
        let in_flight = self.in_flight.as_mut()?;
        let execution_offset = in_flight.execution_offset?;
        if in_flight.may_have_executed || self.socket.bytes_sent <= execution_offset {
            return None;
        }
        in_flight.may_have_executed = true;
        Some(in_flight.attempt.id)
    }
}
