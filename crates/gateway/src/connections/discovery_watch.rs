//! The watch on the endpoint list of the discovery service.
//!
//! A watch is one HTTP request whose response never ends: discovery sends the changes of the list
//! as they happen. The scheduler decides when to open a watch; this module owns its connection and
//! detects its end.

use crate::connections::socket::{start_connecting, Interest, Socket, StreamStatus};
use crate::context::{ConnectionKind, Context, MICROS_PER_MILLI};
use crate::discovery::{watch_request, WatchError, WatchParser};
use crate::endpoint::EndpointListUpdate;
use crate::timer_queue::{Timer, TimerQueue};
use io_scheduler::{EndpointListEvent, Micros};
use std::io;
use std::net::SocketAddr;

/// A watch is closed if it has delivered nothing this long, in microseconds, after it was opened.
/// Discovery itself ends a request that it cannot serve after 2 s. This is shorter than the time
/// after which the scheduler repeats a poll without a response (`POLL_TIMEOUT` in its
/// `endpoints::polling`, 3 s), so a silent watch is closed by then.
const FIRST_RESPONSE_TIMEOUT: Micros = 2_500_000;
/// A watch is closed if nothing arrives on it for this long, in microseconds. Discovery sends an
/// empty line as a heartbeat every 2 s, so a longer silence means that the connection is broken.
/// Every update must take effect within 6 s even then, which leaves time for one failed attempt to
/// open another watch.
const SILENCE_TIMEOUT: Micros = 2_800_000;
/// How many bytes of a watch are read in one turn.
const MAX_BYTES_PER_TURN: usize = 256 << 10;

/// Why a watch has ended.
#[derive(Debug, thiserror::Error)]
pub(crate) enum WatchFailure {
    /// Neither an update nor a heartbeat has arrived in time.
    #[error("no data received in time")]
    TimedOut,
    /// Discovery has closed the connection or completed its response.
    #[error("the watch was closed")]
    Ended,
    /// Discovery sent an invalid response.
    #[error(transparent)]
    InvalidResponse(#[from] WatchError),
    /// The connection failed.
    #[error(transparent)]
    Connection(#[from] io::Error),
}

/// The connection of a watch.
struct WatchConnection {
    /// The TCP stream with its buffers.
    socket: Socket,
    /// The address of discovery that it was opened to.
    address: SocketAddr,
    /// Decodes the response.
    parser: WatchParser,
    /// Whether the request was put into the output buffer.
    is_requested: bool,
}

/// What a connection to discovery has brought since it was handled last.
#[must_use]
pub(crate) struct WatchOutcome {
    /// The updates that are complete, in their order. They apply even if the watch has failed.
    pub(crate) updates: Vec<EndpointListUpdate>,
    /// Why the watch must be closed, if it must; to be passed to [`DiscoveryWatch::fail`] after
    /// the updates have been applied.
    pub(crate) failure: Option<WatchFailure>,
}

/// The result of one read of a watch, besides its updates.
struct WatchInput {
    /// The error in the input after the updates, if it is invalid.
    parsed: Result<(), WatchError>,
    /// Whether discovery has closed the connection or completed its response.
    is_ended: bool,
    /// Whether the input restarts [`SILENCE_TIMEOUT`]. Parts of an object that was incomplete
    /// before do not: the object must become complete in time.
    restarts_silence_timeout: bool,
}

impl WatchConnection {
    /// Starts to connect, and registers the connection with the poller.
    fn open(address: SocketAddr, context: &mut Context) -> io::Result<WatchConnection> {
        let stream = start_connecting(address)?;
        let kind = ConnectionKind::Discovery;
        Ok(WatchConnection {
            socket: Socket::register(stream, kind, Interest::Connect, context)?,
            address,
            parser: WatchParser::default(),
            is_requested: false,
        })
    }

    /// Sends the request for the changes after version `list_index`, once the connection is
    /// established; returns false until then.
    fn send_request(&mut self, list_index: u64) -> io::Result<bool> {
        if !self.is_requested {
            if !self.socket.is_connected()? {
                return Ok(false);
            }
            self.is_requested = true;
            let request = watch_request(&self.address, list_index);
            self.socket.output().extend_from_slice(request.as_bytes());
        }
        self.socket.flush()?;
        Ok(true)
    }

    /// Reads and decodes what has arrived; appends the updates that are complete to `updates`.
    fn receive(&mut self, updates: &mut Vec<EndpointListUpdate>) -> io::Result<WatchInput> {
        let status = self.socket.read_available(MAX_BYTES_PER_TURN)?;
        let bytes = std::mem::take(&mut self.socket.input);
        let was_mid_object = self.parser.is_mid_object();
        let parsed = self.parser.feed(&bytes, updates);
        let completes_object = !updates.is_empty();
        Ok(WatchInput {
            parsed,
            is_ended: status == StreamStatus::Ended || self.parser.is_complete(),
            restarts_silence_timeout: !bytes.is_empty() && (!was_mid_object || completes_object),
        })
    }
}

/// The state of the watch on discovery, which continues over its successive connections.
pub(crate) struct DiscoveryWatch {
    /// Its connection, if it is open.
    connection: Option<WatchConnection>,
    /// When [`Timer::DiscoveryWatch`] expires, if it is set.
    timer_set_for: Option<Micros>,
    /// When its connection was opened.
    opened_at: Micros,
    /// Whether the current connection has delivered an update.
    has_delivered: bool,
    /// The version of the endpoint list that was received last; 0 if none is known.
    list_index: u64,
}

impl DiscoveryWatch {
    /// A watch without a connection; the first request asks for the changes after version
    /// `list_index`.
    pub(crate) fn new(list_index: u64) -> DiscoveryWatch {
        DiscoveryWatch {
            connection: None,
            timer_set_for: None,
            opened_at: 0,
            has_delivered: false,
            list_index,
        }
    }

    /// Makes the next request ask for the complete list: another discovery service numbers its
    /// versions on its own.
    pub(crate) fn reset_list_index(&mut self) {
        self.list_index = 0;
    }

    /// Opens a watch, if an address of discovery is configured. A watch that is open or being
    /// established stays as it is, with its own timeout.
    pub(crate) fn open(&mut self, context: &mut Context) {
        let Some(address) = context.config.discovery else {
            return;
        };
        if self.connection.is_some() {
            return;
        }
        self.opened_at = context.now;
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

    /// Handles the connection, which the poller reported. The caller applies the outcome.
    pub(crate) fn handle_ready(&mut self, context: &mut Context) -> WatchOutcome {
        let mut updates = Vec::new();
        let result = self.advance(&mut updates, context);
        WatchOutcome {
            updates,
            failure: result.err(),
        }
    }

    /// Takes the next steps on the connection: sends the request, and appends the updates that
    /// have arrived to `updates`, also where an error follows them.
    fn advance(
        &mut self,
        updates: &mut Vec<EndpointListUpdate>,
        context: &mut Context,
    ) -> Result<(), WatchFailure> {
        let Some(connection) = &mut self.connection else {
            return Ok(());
        };
        if !connection.send_request(self.list_index)? {
            return Ok(());
        }
        let input = connection.receive(updates)?;
        for update in updates {
            self.note_update(update, context.now);
        }
        input.parsed?;
        if input.is_ended {
            return Err(WatchFailure::Ended);
        }
        if input.restarts_silence_timeout {
            self.set_timer(Some(context.now + SILENCE_TIMEOUT), &mut context.timers);
        }
        if let Some(connection) = &mut self.connection {
            let socket = &mut connection.socket;
            socket.set_interest(Interest::Read, &context.poller)?;
        }
        Ok(())
    }

    /// Records the version of an update, and logs the first update of a connection.
    fn note_update(&mut self, update: &EndpointListUpdate, now: Micros) {
        if !self.has_delivered {
            self.has_delivered = true;
            let count = update.endpoints.len();
            let elapsed_ms = self.elapsed_ms(now);
            log::info!(
                "discovery: received {count} endpoints {elapsed_ms} ms after opening the watch"
            );
        }
        self.list_index = update.index;
    }

    /// Handles the watch's timer.
    pub(crate) fn handle_timeout(&mut self, context: &mut Context) {
        self.timer_set_for = None;
        self.fail(&WatchFailure::TimedOut, context);
    }

    /// Closes a watch that has failed or ended. The scheduler decides when to open another one.
    pub(crate) fn fail(&mut self, failure: &WatchFailure, context: &mut Context) {
        log::info!(
            "discovery: {failure}, {} ms after opening the watch",
            self.elapsed_ms(context.now)
        );
        let event = if self.has_delivered {
            EndpointListEvent::WatchLost
        } else {
            EndpointListEvent::PollFailed
        };
        self.close(event, context);
    }

    /// Closes the connection, if it is open, and reports `event` to the dispatcher.
    pub(crate) fn close(&mut self, event: EndpointListEvent, context: &mut Context) {
        if let Some(connection) = self.connection.take() {
            context.free(connection.socket.token());
        }
        self.has_delivered = false;
        self.set_timer(None, &mut context.timers);
        context.dispatcher.update_endpoints(event, &[], context.now);
    }

    /// Sets the watch's timer for another time, or cancels it if that is `None`.
    fn set_timer(&mut self, at: Option<Micros>, timers: &mut TimerQueue) {
        timers.reschedule(&mut self.timer_set_for, at, Timer::DiscoveryWatch);
    }

    /// Milliseconds since the connection was opened.
    fn elapsed_ms(&self, now: Micros) -> Micros {
        (now - self.opened_at) / MICROS_PER_MILLI
    }
}
