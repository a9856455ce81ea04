//! One connection to a storage node.

use super::pool::NodeAddress;
use crate::connection_token::ConnectionToken;
use crate::connections::connection_timer::ConnectionTimer;
use crate::connections::counted_bytes::CountedBytes;
use crate::connections::socket::{Interest, Socket, StreamStatus};
use crate::context::MICROS_PER_MILLI;
use crate::endpoint::Protocol;
use crate::node_protocol::{resp, sftp, NodeProtocol, ProtocolError};
use crate::storage_request::{AttemptId, AttemptResult, StorageRequest};
use crate::timer_queue::TimerQueue;
use io_scheduler::{Micros, NodeId};
use std::io;
use std::sync::Arc;

/// Bytes of input buffered for a connection, besides the announced length of a large response.
pub(super) const MAX_BUFFERED_INPUT_BYTES: usize = 80 << 10;

/// A connection to a node. It carries one request at a time, so that a request can be abandoned by
/// closing its connection without effect on any other.
pub(super) struct NodeConnection {
    /// The TCP stream with its buffers.
    pub(super) socket: Socket,
    /// The node at the other end.
    pub(super) node: NodeId,
    /// The address it was opened to. The pool's address differs if the node has moved since.
    pub(super) address: NodeAddress,
    /// Encodes the requests and decodes the responses.
    pub(super) protocol: Box<dyn NodeProtocol>,
    /// Whether the TCP connection is established; the protocol's handshake may still be under way.
    pub(super) is_connected: bool,
    /// The attempt that it carries, if any.
    pub(super) carried: Option<CarriedAttempt>,
    /// The connect timeout or the idle timeout; cancelled once a request is encoded.
    pub(super) timer: ConnectionTimer,
    /// Its part of [`super::NodeConnections::large_response_bytes`].
    pub(super) counted_large_response_bytes: CountedBytes,
    /// When it was last put into its pool; `None` before the first time.
    pub(super) idle_since: Option<Micros>,
    /// How long it was idle before the request that it carries, in microseconds.
    pub(super) idle_before_request: Micros,
}

/// What an attempt is to do.
pub(crate) struct AttemptSpec {
    /// By this the dispatcher recognizes the result.
    pub(crate) id: AttemptId,
    /// The node to forward the request to.
    pub(crate) node: NodeId,
    /// When the attempt times out.
    pub(crate) times_out_at: Micros,
    /// The request to encode.
    pub(crate) request: Arc<StorageRequest>,
}

/// The attempt that a connection carries.
pub(super) struct CarriedAttempt {
    /// What the attempt is to do.
    pub(super) attempt: AttemptSpec,
    /// Position in the connection's output stream, in bytes, beyond which the node may have
    /// executed the request; compared with [`Socket::bytes_sent`]. `None` before the request is
    /// encoded.
    execution_offset: Option<u64>,
    /// Whether the node may have executed the request, and the dispatcher was notified; see
    /// [`crate::dispatcher::Dispatcher::note_may_have_executed`].
    pub(super) may_have_executed: bool,
    /// When the connection was assigned to the attempt.
    pub(super) started_at: Micros,
}

impl CarriedAttempt {
    /// An attempt that is assigned to a connection at the time `now`.
    pub(super) fn new(attempt: AttemptSpec, now: Micros) -> CarriedAttempt {
        CarriedAttempt {
            attempt,
            execution_offset: None,
            may_have_executed: false,
            started_at: now,
        }
    }

    /// Whether the request is in the output buffer or was sent from there, at least in part.
    pub(super) fn is_encoded(&self) -> bool {
        self.execution_offset.is_some()
    }
}

impl NodeConnection {
    /// A connection that is being established. Values of more than `max_value_bytes` in its
    /// responses are protocol errors.
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
            carried: None,
            counted_large_response_bytes: CountedBytes::default(),
            idle_since: None,
            idle_before_request: 0,
        }
    }

    /// The connection's token.
    pub(super) fn token(&self) -> ConnectionToken {
        self.socket.token()
    }

    /// For how many microseconds it has been idle at the time `now`; 0 if it never was.
    pub(super) fn idle_for(&self, now: Micros) -> Micros {
        self.idle_since.map_or(0, |since| now - since)
    }

    /// Whether requests may be written: the TCP connection and the protocol's handshake are
    /// complete.
    pub(super) fn is_ready(&self) -> bool {
        self.is_connected && self.protocol.ready()
    }

    /// The events that the poller is to report.
    pub(super) fn interest(&self) -> Interest {
        if self.is_connected {
            Interest::Read
        } else {
            Interest::Connect
        }
    }

    /// Checks whether the TCP connection is established, and starts the protocol's handshake when
    /// it is for the first time. Returns false while it is still being established.
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

    /// Whether an idle connection can carry another request. Reads what has arrived: the node must
    /// neither have closed the connection nor sent data without a request, which would be taken
    /// for the next response.
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

    /// Reads what has arrived; a large response may exceed the usual size of the input buffer.
    pub(super) fn read_available(&mut self) -> io::Result<StreamStatus> {
        let max_buffered = MAX_BUFFERED_INPUT_BYTES + self.counted_large_response_bytes.get();
        self.socket.read_available(max_buffered)
    }

    /// Decodes the buffered input. Returns the result of the attempt once its response is complete.
    /// Further commands of the same request go to the output buffer.
    pub(super) fn decode_input(&mut self) -> Result<Option<AttemptResult>, ProtocolError> {
        if self.socket.input.is_empty() {
            return Ok(None);
        }
        let mut output = Vec::new();
        let result = self.protocol.decode(&mut self.socket.input, &mut output);
        self.socket.output().append(&mut output);
        result
    }

    /// Encodes the request of the attempt into the output buffer. Cancels the connection's timer
    /// (connect timeout or idle timeout), as the timeout of the attempt applies from here on.
    pub(super) fn encode_request(&mut self, now: Micros, timers: &mut TimerQueue) {
        let Some(carried) = &mut self.carried else {
            return;
        };
        let attempt = &carried.attempt;
        let wait_ms = (attempt.times_out_at - now) / MICROS_PER_MILLI;
        let start_offset = self.socket.bytes_sent + self.socket.unsent_bytes() as u64;
        let output = self.socket.output();
        let bytes_before_execution =
            self.protocol
                .encode_request(&attempt.request, wait_ms, output);
        carried.execution_offset = Some(start_offset + bytes_before_execution as u64);
        self.timer.cancel(timers);
    }

    /// Writes pending output, once the TCP connection is established.
    pub(super) fn flush(&mut self) -> io::Result<()> {
        if !self.is_connected {
            return Ok(());
        }
        self.socket.flush()
    }

    /// Returns the attempt in flight, once, when so much of its request has been sent that the node
    /// may have executed it.
    pub(super) fn take_possible_execution(&mut self) -> Option<AttemptId> {
        let carried = self.carried.as_mut()?;
        let execution_offset = carried.execution_offset?;
        if carried.may_have_executed || self.socket.bytes_sent <= execution_offset {
            return None;
        }
        carried.may_have_executed = true;
        Some(carried.attempt.id)
    }
}
