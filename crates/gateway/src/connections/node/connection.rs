//! One connection to a storage node.

use super::pool::NodeAddress;
use crate::connections::socket::{Interest, Socket, StreamStatus};
use crate::connections::ConnectionToken;
use crate::dispatcher::StorageRequest;
use crate::event_loop::Context;
use crate::inventory::Protocol;
use crate::node_protocol::{resp, sftp, NodeProtocol};
use crate::timer_queue::{AttemptId, Timer};
use io_scheduler::{Micros, NodeId};
use std::io;
use std::sync::Arc;

/// Bytes of a node's response buffered at once, unless the response is known to be larger.
pub(super) const MAX_BUFFERED_INPUT: usize = 80 << 10;

/// A connection to a node. It carries one request at a time, so that closing it to give up its request
/// affects no other.
pub(crate) struct NodeConnection {
    pub(super) socket: Socket,
    pub(super) node: NodeId,
    /// Where it goes; the node may have moved since.
    pub(super) address: NodeAddress,
    pub(super) protocol: Box<dyn NodeProtocol>,
    /// Whether the TCP connection is established; the protocol's handshake may still be under way.
    pub(super) is_connected: bool,
    pub(super) in_flight: Option<InFlight>,
    /// When its timer fires, if it is set.
    pub(super) deadline: Option<Micros>,
    /// What it adds to [`super::NodeConnections::large_response_bytes`].
    pub(super) counted_large_response_bytes: usize,
    /// Since when it carries no request.
    pub(super) idle_since: Option<Micros>,
    /// How long it was idle before the request in flight.
    pub(super) idle_before_request: Micros,
}

/// The attempt that a connection carries.
pub(super) struct InFlight {
    pub(super) attempt: AttemptId,
    pub(super) request: Arc<StorageRequest>,
    /// When the attempt times out.
    pub(super) deadline: Micros,
    /// Once more than this many bytes are sent, the request may have run. None before it is encoded.
    pub(super) may_run_after: Option<u64>,
    /// Whether the dispatcher knows that the request may have run.
    pub(super) is_reported_written: bool,
    pub(super) started_at: Micros,
}

impl NodeConnection {
    /// A connection that is being established; values larger than `max_value` bytes are not taken from it.
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
            deadline: None,
            counted_large_response_bytes: 0,
            idle_since: None,
            idle_before_request: 0,
        }
    }

    /// Whether requests may be written.
    pub(super) fn is_ready(&self) -> bool {
        self.is_connected && self.protocol.ready()
    }

    /// What the poller must report.
    pub(super) fn interest(&self) -> Interest {
        if self.is_connected {
            Interest::Read
        } else {
            Interest::Connect
        }
    }

    /// Completes the TCP connection if that is possible by now, and starts the handshake; false if it is not.
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

    /// Whether the node has neither sent anything that belongs to no request nor closed the connection.
    pub(super) fn is_quiet(&mut self) -> bool {
        let Ok(StreamStatus::Open) = self.socket.read_available(MAX_BUFFERED_INPUT) else { return false };
        self.socket.input.is_empty()
            || matches!(self.protocol.decode(&mut self.socket.input, &mut Vec::new()), Ok(None))
    }

    /// Encodes the request in flight. Its time limit ends the attempt from here on, not the connection's
    /// timer.
    pub(super) fn encode_request(&mut self, token: ConnectionToken, context: &mut Context) {
        let Some(in_flight) = &mut self.in_flight else { return };
        let wait_ms = (in_flight.deadline - context.now) / 1000;
        let start = self.socket.bytes_sent + self.socket.unsent_bytes() as u64;
        let harmless = self.protocol.encode_request(&in_flight.request, wait_ms, self.socket.output());
        in_flight.may_run_after = Some(start + harmless as u64);
        context.timers.reschedule(&mut self.deadline, None, Timer::Connection(token));
    }

    /// Tells the dispatcher, once, that so much of the request was sent that it may have run.
    pub(super) fn report_written(&mut self, context: &mut Context) {
        let bytes_sent = self.socket.bytes_sent;
        let Some(in_flight) = &mut self.in_flight else { return };
        if in_flight.is_reported_written {
            return;
        }
        if in_flight.may_run_after.is_some_and(|limit| bytes_sent > limit) {
            in_flight.is_reported_written = true;
            context.dispatcher.mark_written(in_flight.attempt);
        }
    }
}
