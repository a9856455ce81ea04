//! One connection to a storage node.

use super::pool::NodeAddress;
use crate::connection_token::ConnectionToken;
use crate::connections::socket::{Interest, Socket, StreamStatus};
use crate::connections::CountedBytes;
use crate::dispatcher::StorageRequest;
use crate::event_loop::Context;
use crate::inventory::Protocol;
use crate::node_protocol::{resp, sftp, NodeProtocol};
use crate::timer_queue::{AttemptId, Timer};
use io_scheduler::{Micros, NodeId};
use std::io;
use std::sync::Arc;

/// Bytes of input buffered for a connection, besides the announced length of a large response.
pub(super) const MAX_BUFFERED_INPUT_BYTES: usize = 80 << 10;

/// A connection to a node. It carries one request at a time, so that a request can be abandoned by closing
/// its connection without effect on any other.
pub(crate) struct NodeConnection {
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
    pub(super) in_flight: Option<InFlight>,
    /// When its [`Timer::Connection`] expires, if it is set: the connect timeout or the idle timeout.
    pub(super) timer_deadline: Option<Micros>,
    /// Its part of [`super::NodeConnections::large_response_bytes`].
    pub(super) counted_large_response_bytes: CountedBytes,
    /// When it was last put into its pool; `None` before the first time.
    pub(super) idle_since: Option<Micros>,
    /// How long it was idle before the request in flight, in microseconds.
    pub(super) idle_before_request: Micros,
}

/// The attempt that a connection carries.
pub(super) struct InFlight {
    /// Id of the attempt.
    pub(super) attempt: AttemptId,
    /// The request to encode.
    pub(super) request: Arc<StorageRequest>,
    /// When the attempt times out.
    pub(super) deadline: Micros,
    /// Position in the connection's output stream, in bytes, beyond which the request may take effect at the
    /// node; compared with [`Socket::bytes_sent`]. `None` before the request is encoded.
    pub(super) effect_offset: Option<u64>,
    /// Whether [`crate::dispatcher::Dispatcher::mark_written`] was called for the attempt.
    pub(super) is_marked_written: bool,
    /// When the connection was assigned to the attempt.
    pub(super) started_at: Micros,
}

impl InFlight {
    /// Whether the request is in the output buffer or was sent from there, at least in part.
    pub(super) fn is_encoded(&self) -> bool {
        self.effect_offset.is_some()
    }
}

impl NodeConnection {
    /// A connection that is being established. Values of more than `max_value` bytes in its responses are
    /// protocol errors.
    pub(super) fn new(
        socket: Socket,
        node: NodeId,
        address: NodeAddress,
        max_value: usize,
    ) -> NodeConnection {
        let protocol: Box<dyn NodeProtocol> = match address.protocol {
            Protocol::Resp2 => Box::new(resp::RespProtocol::new(max_value)),
            Protocol::Sftp => Box::new(sftp::SftpProtocol::new(max_value)),
        };
        NodeConnection {
            socket,
            node,
            address,
            protocol,
            is_connected: false,
            in_flight: None,
            timer_deadline: None,
            counted_large_response_bytes: CountedBytes::default(),
            idle_since: None,
            idle_before_request: 0,
        }
    }

    /// Whether requests may be written: the TCP connection and the protocol's handshake are complete.
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

    /// Checks whether the TCP connection is established, and starts the protocol's handshake when it is for
    /// the first time. Returns false while it is still being established.
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

    /// Whether an idle connection can carry another request. Reads what has arrived: the node must neither
    /// have closed the connection nor sent data without a request, which would be taken for the next
    /// response.
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

    /// Encodes the request in flight into the output buffer. Cancels the connection's timer (connect timeout
    /// or idle timeout), as the timeout of the attempt applies from here on.
    pub(super) fn encode_request(&mut self, token: ConnectionToken, context: &mut Context) {
        let Some(in_flight) = &mut self.in_flight else {
            return;
        };
        let wait_ms = (in_flight.deadline - context.now) / 1000;
        let start_offset = self.socket.bytes_sent + self.socket.unsent_bytes() as u64;
        let bytes_without_effect =
            self.protocol
                .encode_request(&in_flight.request, wait_ms, self.socket.output());
        in_flight.effect_offset = Some(start_offset + bytes_without_effect as u64);
        context
            .timers
            .reschedule(&mut self.timer_deadline, None, Timer::Connection(token));
    }

    /// Notifies the dispatcher, once for each attempt, when enough of the request has been sent for it to
    /// take effect at the node.
    pub(super) fn mark_written(&mut self, context: &mut Context) {
        let bytes_sent = self.socket.bytes_sent;
        let Some(in_flight) = &mut self.in_flight else {
            return;
        };
        if in_flight.is_marked_written {
            return;
        }
        if in_flight
            .effect_offset
            .is_some_and(|offset| bytes_sent > offset)
        {
            in_flight.is_marked_written = true;
            context.dispatcher.mark_written(in_flight.attempt);
        }
    }
}
