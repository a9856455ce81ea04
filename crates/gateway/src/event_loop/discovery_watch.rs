//! The watch on discovery's endpoint list.

use super::endpoint_table::EndpointTable;
use super::{Connection, Context};
use crate::connections::node::NodeConnections;
use crate::connections::socket::{Interest, Socket, StreamStatus};
use crate::connections::ConnectionToken;
use crate::discovery::{watch_request, EndpointListUpdate, WatchError, WatchParser};
use crate::timer_queue::Timer;
use io_scheduler::{EndpointListEvent, Micros};
use std::io;
use std::net::SocketAddr;

/// A watch that has not begun to answer by then is given up; discovery itself gives up after 2 s.
const FIRST_RESPONSE_TIMEOUT: Micros = 2_500_000;
/// Discovery sends an empty line every 2 s: a longer silence means that the connection is cut off. Every
/// update must have arrived after 6 s all the same, so there must be time to open another watch, and for that
/// to fail.
const SILENCE_TIMEOUT: Micros = 2_800_000;
/// Bytes read in one turn.
const MAX_READ_PER_TURN: usize = 256 << 10;

/// Why a watch is over.
#[derive(Debug, thiserror::Error)]
pub(super) enum WatchFailure {
    /// Nothing complete has arrived in time.
    #[error("no data received in time")]
    TimedOut,
    /// Discovery has closed the connection or completed its response.
    #[error("the watch was closed")]
    Ended,
    /// Discovery sent something invalid.
    #[error(transparent)]
    InvalidResponse(#[from] WatchError),
    /// The connection failed.
    #[error(transparent)]
    Connection(#[from] io::Error),
}

/// The connection of a watch.
pub(crate) struct WatchConnection {
    socket: Socket,
    parser: WatchParser,
    /// Whether the request is queued or sent.
    is_requested: bool,
}

/// What one read of a watch brought.
struct WatchInput {
    updates: Vec<EndpointListUpdate>,
    /// Whether what followed the updates is valid.
    parsed: Result<(), WatchError>,
    is_ended: bool,
    /// Whether it proves that the connection works. An incomplete object does not: it must become complete in
    /// time.
    is_sign_of_life: bool,
}

impl WatchConnection {
    /// Sends the request for changes from a version on; false while the connection is not established.
    fn send_request(&mut self, address: Option<SocketAddr>, list_index: u64) -> io::Result<bool> {
        if !self.is_requested {
            if !self.socket.is_connected()? {
                return Ok(false);
            }
            self.is_requested = true;
            if let Some(address) = address {
                let request = watch_request(&address, list_index);
                self.socket.output().extend_from_slice(request.as_bytes());
            }
        }
        self.socket.flush()?;
        Ok(true)
    }

    fn receive(&mut self) -> io::Result<WatchInput> {
        let status = self.socket.read_available(MAX_READ_PER_TURN)?;
        let bytes = std::mem::take(&mut self.socket.input);
        let mut updates = Vec::new();
        let was_mid_object = self.parser.is_mid_object();
        let parsed = self.parser.feed(&bytes, &mut updates);
        Ok(WatchInput {
            parsed,
            is_ended: status == StreamStatus::Ended || self.parser.is_complete(),
            is_sign_of_life: !bytes.is_empty() && (!was_mid_object || !updates.is_empty()),
            updates,
        })
    }
}

/// The watch on discovery, over all its connections.
#[derive(Debug)]
pub(super) struct DiscoveryWatch {
    /// The token of its connection, while there is one.
    token: Option<ConnectionToken>,
    /// When its timer fires, if it is set.
    deadline: Option<Micros>,
    /// When its connection was opened.
    opened_at: Micros,
    /// Whether its connection has delivered an update.
    has_delivered: bool,
    /// The version of the endpoint list that is known.
    list_index: u64,
}

impl DiscoveryWatch {
    /// No watch yet; it will ask for what follows version `list_index`.
    pub(super) fn new(list_index: u64) -> DiscoveryWatch {
        DiscoveryWatch { token: None, deadline: None, opened_at: 0, has_delivered: false, list_index }
    }

    /// Whether there is a connection.
    pub(super) fn is_open(&self) -> bool {
        self.token.is_some()
    }

    /// Forgets which version of the list is known: another service may count its versions anew.
    pub(super) fn reset_list_index(&mut self) {
        self.list_index = 0;
    }

    /// Opens a watch, in place of one that is still open.
    pub(super) fn open(&mut self, context: &mut Context) {
        let Some(address) = context.config.discovery else { return };
        if let Some(previous) = self.token.take() {
            context.connections.free(previous);
        }
        self.has_delivered = false;
        self.opened_at = context.now;
        match self.connect(address, context) {
            Ok(()) => self.set_deadline(Some(context.now + FIRST_RESPONSE_TIMEOUT), context),
            Err(error) => self.fail(&error.into(), context),
        }
    }

    fn connect(&mut self, address: SocketAddr, context: &mut Context) -> io::Result<()> {
        let mut socket = Socket::connect(address)?;
        let token = context.connections.reserve();
        let registered = socket.set_interest(&context.poller, token, Interest::Connect);
        let connection = WatchConnection { socket, parser: WatchParser::default(), is_requested: false };
        context.connections.put(token, Connection::Watch(connection));
        self.token = Some(token);
        registered
    }

    /// Handles a connection that the poller reported.
    pub(super) fn handle_ready(
        &mut self,
        token: ConnectionToken,
        mut connection: WatchConnection,
        endpoints: &mut EndpointTable,
        nodes: &mut NodeConnections,
        context: &mut Context,
    ) {
        let result = self.advance(token, &mut connection, endpoints, nodes, context);
        if self.token == Some(token) {
            context.connections.put(token, Connection::Watch(connection));
        }
        if let Err(failure) = result {
            self.fail(&failure, context);
        }
    }

    fn advance(
        &mut self,
        token: ConnectionToken,
        connection: &mut WatchConnection,
        endpoints: &mut EndpointTable,
        nodes: &mut NodeConnections,
        context: &mut Context,
    ) -> Result<(), WatchFailure> {
        if !connection.send_request(context.config.discovery, self.list_index)? {
            return Ok(());
        }
        let input = connection.receive()?;
        for update in &input.updates {
            self.note_update(update, context.now);
            endpoints.apply_update(update, update.kind(), nodes, context);
        }
        input.parsed?;
        if input.is_ended {
            return Err(WatchFailure::Ended);
        }
        if input.is_sign_of_life {
            self.set_deadline(Some(context.now + SILENCE_TIMEOUT), context);
        }
        connection.socket.set_interest(&context.poller, token, Interest::Read)?;
        Ok(())
    }

    fn note_update(&mut self, update: &EndpointListUpdate, now: Micros) {
        if !self.has_delivered {
            self.has_delivered = true;
            let (count, elapsed_ms) = (update.endpoints.len(), self.elapsed_ms(now));
            log::info!("discovery: received {count} endpoints {elapsed_ms} ms after the call");
        }
        self.list_index = update.index;
    }

    /// Handles the watch's timer.
    pub(super) fn handle_timeout(&mut self, context: &mut Context) {
        self.deadline = None;
        self.fail(&WatchFailure::TimedOut, context);
    }

    /// The watch has failed; the scheduler says when to open another one.
    fn fail(&mut self, failure: &WatchFailure, context: &mut Context) {
        log::info!("discovery: {failure}, {} ms after the call", self.elapsed_ms(context.now));
        let event =
            if self.has_delivered { EndpointListEvent::WatchLost } else { EndpointListEvent::PollFailed };
        self.close(event, context);
    }

    /// Closes the watch, if there is one, and reports it to the dispatcher as `event`.
    pub(super) fn close(&mut self, event: EndpointListEvent, context: &mut Context) {
        if let Some(token) = self.token.take() {
            context.connections.free(token);
        }
        self.has_delivered = false;
        self.set_deadline(None, context);
        context.dispatcher.update_endpoints(event, &[], context.now);
    }

    fn set_deadline(&mut self, at: Option<Micros>, context: &mut Context) {
        context.timers.reschedule(&mut self.deadline, at, Timer::DiscoveryWatch);
    }

    fn elapsed_ms(&self, now: Micros) -> Micros {
        (now - self.opened_at) / 1000
    }
}
