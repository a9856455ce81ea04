//! The watch on the endpoint list of the discovery service.
//!
//! A watch is a single HTTP request whose response stays open: the discovery service sends each
//! change of the list as it happens. The scheduler decides when to open a watch. This module owns
//! the connection, receives the updates and detects when the watch has ended or failed.

use crate::connections::socket::{start_connecting, Interest, Socket, StreamStatus};
use crate::context::{Context, DescriptorKind, MICROS_PER_MILLISECOND};
use crate::discovery::{watch_request, WatchError, WatchParser};
use crate::endpoint::EndpointListUpdate;
use crate::timer_queue::{Timer, TimerQueue};
use io_scheduler::{EndpointListEvent, Micros};
use std::io;
use std::net::SocketAddr;

/// Time limit, in microseconds, for the first data after a watch is opened. The discovery service
/// ends a request that it cannot serve after 2 s. The scheduler repeats a poll without a response
/// after 3 s (`POLL_TIMEOUT` in its `endpoints::polling`). This limit is shorter, so a watch
/// without data is closed by then.
const FIRST_RESPONSE_TIMEOUT: Micros = 2_500_000;
/// Maximum time, in microseconds, between two arrivals of data on a watch. The discovery service
/// sends an empty line as a heartbeat every 2 s, so a longer interval means that the connection is
/// broken. An update must take effect within 6 s even if the connection breaks; 2.8 s leave time
/// for one failed attempt to open another watch.
const HEARTBEAT_TIMEOUT: Micros = 2_800_000;
/// Maximum number of bytes that are read from a watch in one turn of the event loop.
const MAX_BYTES_PER_TURN: usize = 256 << 10;

/// Why a watch has ended or could not be opened.
#[derive(Debug, thiserror::Error)]
pub(crate) enum WatchFailure {
    /// Neither an update nor a heartbeat arrived in time.
    #[error("timed out waiting for data")]
    TimedOut,
    /// The discovery service closed the connection or completed its response.
    #[error("closed by the discovery service")]
    Ended,
    /// The discovery service sent an invalid response.
    #[error(transparent)]
    InvalidResponse(#[from] WatchError),
    /// The connection could not be established, or it failed later.
    #[error(transparent)]
    Connection(#[from] io::Error),
}

/// The connection that carries a watch.
struct WatchConnection {
    /// The TCP stream with its input and output buffers.
    socket: Socket,
    /// The address of the discovery service, to which the connection was opened.
    address: SocketAddr,
    /// Decodes the response.
    parser: WatchParser,
    /// Whether the request has been appended to the output buffer.
    is_request_queued: bool,
}

/// What was received from the discovery service in one turn of the event loop.
#[must_use]
pub(crate) struct WatchOutcome {
    /// The complete updates, in the order of their arrival. The caller applies them even if
    /// the watch has failed.
    pub(crate) updates: Vec<EndpointListUpdate>,
    /// Why the watch must be closed, or `None` if it stays open. The caller passes the failure to
    /// [`DiscoveryWatch::fail`] after it has applied the updates.
    pub(crate) failure: Option<WatchFailure>,
}

/// The result of one read from a watch, apart from the updates.
struct WatchReadResult {
    /// An error if the input after the last complete update is invalid.
    parsed: Result<(), WatchError>,
    /// Whether the discovery service closed the connection or completed its response.
    is_ended: bool,
    /// Whether the input restarts [`HEARTBEAT_TIMEOUT`]. Further parts of an incomplete JSON object
    /// do not restart it: the object must be complete within that time.
    restarts_heartbeat_timeout: bool,
}

impl WatchConnection {
    /// Starts to connect, and registers the connection with the poller.
    fn open(address: SocketAddr, context: &mut Context) -> io::Result<WatchConnection> {
        let stream = start_connecting(address)?;
        let kind = DescriptorKind::Discovery;
        Ok(WatchConnection {
            socket: Socket::register(stream, kind, Interest::Connect, context)?,
            address,
            parser: WatchParser::default(),
            is_request_queued: false,
        })
    }

    /// Sends the request for the changes after version `list_version` once the connection is
    /// established. Returns false until then.
    fn send_request(&mut self, list_version: u64) -> io::Result<bool> {
        if !self.is_request_queued {
            if !self.socket.is_connected()? {
                return Ok(false);
            }
            self.is_request_queued = true;
            let request = watch_request(&self.address, list_version);
            self.socket.output().extend_from_slice(request.as_bytes());
        }
        self.socket.flush()?;
        Ok(true)
    }

    /// Reads and decodes the available input. Appends each complete update to `updates`.
    fn receive(&mut self, updates: &mut Vec<EndpointListUpdate>) -> io::Result<WatchReadResult> {
        let status = self.socket.read_available(MAX_BYTES_PER_TURN)?;
        let bytes = std::mem::take(&mut self.socket.input);
        let had_partial_object = self.parser.has_partial_object();
        let parsed = self.parser.feed(&bytes, updates);
        let completes_object = !updates.is_empty();
        Ok(WatchReadResult {
            parsed,
            is_ended: status == StreamStatus::Ended || self.parser.is_complete(),
            restarts_heartbeat_timeout: !bytes.is_empty()
                && (!had_partial_object || completes_object),
        })
    }
}

/// The state of the watch on the discovery service, kept across its successive connections.
pub(crate) struct DiscoveryWatch {
    /// The current connection; `None` if no watch is open.
    connection: Option<WatchConnection>,
    /// When [`Timer::DiscoveryWatch`] expires; `None` if it is not set.
    timer_expires_at: Option<Micros>,
    /// When opening the current or last connection started.
    connecting_started_at: Micros,
    /// Whether an update has arrived on the current connection.
    has_received_update: bool,
    /// The last received version of the endpoint list; 0 if none is known.
    list_version: u64,
}

impl DiscoveryWatch {
    /// Creates a watch without a connection. The first request asks for the changes after version
    /// `list_version`.
    pub(crate) fn new(list_version: u64) -> DiscoveryWatch {
        DiscoveryWatch {
            connection: None,
            timer_expires_at: None,
            connecting_started_at: 0,
            has_received_update: false,
            list_version,
        }
    }

    /// Makes the next request ask for the complete list. Called when the configured discovery
    /// service changes, because each service numbers its versions independently.
    pub(crate) fn reset_list_version(&mut self) {
        self.list_version = 0;
    }

    /// Opens a watch if the address of a discovery service is configured. A watch that is already
    /// open or being established is left unchanged and keeps its timeout.
    pub(crate) fn open(&mut self, context: &mut Context) {
        let Some(address) = context.config.discovery else {
            return;
        };
        if self.connection.is_some() {
            return;
        }
        self.connecting_started_at = context.now;
        match WatchConnection::open(address, context) {
            Ok(connection) => {
                self.connection = Some(connection);
                self.set_timer(
                    Some(context.now + FIRST_RESPONSE_TIMEOUT),
                    &mut context.timers,
                );
            }
            Err(error) => self.fail(&error.into(), context),
        }
    }

    /// Handles the connection after the poller has reported it. The caller applies the outcome.
    pub(crate) fn handle_ready(&mut self, context: &mut Context) -> WatchOutcome {
        let mut updates = Vec::new();
        let result = self.send_and_receive(&mut updates, context);
        WatchOutcome {
            updates,
            failure: result.err(),
        }
    }

    /// Sends the request if that has not been done, and receives updates. Appends complete updates
    /// to `updates`, even if an error follows them.
    fn send_and_receive(
        &mut self,
        updates: &mut Vec<EndpointListUpdate>,
        context: &mut Context,
    ) -> Result<(), WatchFailure> {
        let Some(connection) = &mut self.connection else {
            return Ok(());
        };
        if !connection.send_request(self.list_version)? {
            return Ok(());
        }
        let input = connection.receive(updates)?;
        for update in updates {
            self.record_update(update, context.now);
        }
        input.parsed?;
        if input.is_ended {
            return Err(WatchFailure::Ended);
        }
        if input.restarts_heartbeat_timeout {
            self.set_timer(Some(context.now + HEARTBEAT_TIMEOUT), &mut context.timers);
        }
        if let Some(connection) = &mut self.connection {
            let socket = &mut connection.socket;
            socket.set_interest(Interest::Read, &context.poller)?;
        }
        Ok(())
    }

    /// Records the version of an update. Logs the first update of each connection.
    fn record_update(&mut self, update: &EndpointListUpdate, now: Micros) {
        if !self.has_received_update {
            self.has_received_update = true;
            let count = update.endpoints.len();
            let elapsed_ms = self.elapsed_ms(now);
            log::info!(
                "discovery: received {count} endpoints {elapsed_ms} ms after connecting started"
            );
        }
        log::debug!(
            "discovery: update to version {} from version {} with {} endpoints",
            update.version,
            self.list_version,
            update.endpoints.len()
        );
        self.list_version = update.version;
    }

    /// Handles the expiry of the watch's timer: no data has arrived in time.
    pub(crate) fn handle_timeout(&mut self, context: &mut Context) {
        self.timer_expires_at = None;
        self.fail(&WatchFailure::TimedOut, context);
    }

    /// Closes a watch that has ended, failed or could not be opened. The scheduler decides when to
    /// open another one.
    pub(crate) fn fail(&mut self, failure: &WatchFailure, context: &mut Context) {
        log::info!(
            "discovery: watch failed or ended {} ms after connecting started: {failure}",
            self.elapsed_ms(context.now)
        );
        let event = if self.has_received_update {
            EndpointListEvent::WatchLost
        } else {
            EndpointListEvent::PollFailed
        };
        self.close(event, context);
    }

    /// Closes the connection, if there is one, and reports `event` to the dispatcher.
    pub(crate) fn close(&mut self, event: EndpointListEvent, context: &mut Context) {
        if let Some(connection) = self.connection.take() {
            context.free(connection.socket.token());
        }
        self.has_received_update = false;
        self.set_timer(None, &mut context.timers);
        context.dispatcher.update_endpoints(event, &[], context.now);
    }

    /// Sets the watch's timer to expire at `at`, or cancels it if `at` is `None`.
    fn set_timer(&mut self, at: Option<Micros>, timers: &mut TimerQueue) {
        timers.reschedule(&mut self.timer_expires_at, at, Timer::DiscoveryWatch);
    }

    /// Returns the milliseconds since the current or last connection was opened.
    fn elapsed_ms(&self, now: Micros) -> Micros {
        (now - self.connecting_started_at) / MICROS_PER_MILLISECOND
    }
}
