//! Sockets that accept client connections.

use crate::connection_token::ConnectionToken;
use crate::context::{ConnectionKind, Context};
use crate::timer_queue::Timer;
use io_scheduler::Micros;
use rustix::event::epoll::EventFlags;
use std::io;
use std::net::{TcpListener, TcpStream};

/// Length of the system's queue of connections that wait to be accepted. It is long, as hundreds
/// of clients may connect at once: the system drops what exceeds the queue, and a client repeats
/// that only after a second.
const ACCEPT_BACKLOG: i32 = 1024;
/// How long, in microseconds, accepting pauses when a connection cannot be accepted and no idle
/// one can be closed for it.
const ACCEPT_PAUSE: Micros = 20_000;

/// Which protocol the clients of a listener speak.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ListenerProtocol {
    /// RESP2.
    Resp,
    /// SFTP packets, without the SSH transport.
    Sftp,
}

impl ListenerProtocol {
    /// The name for the log.
    fn name(self) -> &'static str {
        match self {
            ListenerProtocol::Resp => "RESP2",
            ListenerProtocol::Sftp => "SFTP",
        }
    }
}

/// A socket that accepts client connections.
pub(crate) struct Listener {
    /// Its token.
    token: ConnectionToken,
    /// The listening socket, in non-blocking mode.
    socket: TcpListener,
    /// The protocol of its clients.
    protocol: ListenerProtocol,
}

impl Listener {
    /// The protocol of the clients.
    pub(crate) fn protocol(&self) -> ListenerProtocol {
        self.protocol
    }

    /// Accepts a connection that waits. The error is of the kind [`io::ErrorKind::WouldBlock`] if
    /// there is none.
    pub(crate) fn accept(&self) -> io::Result<TcpStream> {
        let (stream, _) = self.socket.accept()?;
        Ok(stream)
    }
}

/// All listeners.
#[derive(Default)]
pub(crate) struct Listeners {
    /// In the order in which they were added.
    listeners: Vec<Listener>,
}

impl Listeners {
    /// Registers a bound socket with the poller.
    pub(crate) fn add(
        &mut self,
        socket: TcpListener,
        protocol: ListenerProtocol,
        context: &mut Context,
    ) -> io::Result<()> {
        // The standard library listens with a shorter queue; listening again only changes its
        // length.
        rustix::net::listen(&socket, ACCEPT_BACKLOG)?;
        socket.set_nonblocking(true)?;
        let address = socket.local_addr()?;
        log::info!("listening for {} on {address}", protocol.name());
        let token = context.register(&socket, ConnectionKind::Listener, EventFlags::IN)?;
        self.listeners.push(Listener {
            token,
            socket,
            protocol,
        });
        Ok(())
    }

    /// The listener with this token.
    pub(crate) fn get(&self, token: ConnectionToken) -> Option<&Listener> {
        self.listeners
            .iter()
            .find(|listener| listener.token == token)
    }

    /// Stops accepting for [`ACCEPT_PAUSE`] on all listeners but the one that is being handled,
    /// which keeps its events.
    pub(crate) fn pause_others(&self, handled: ConnectionToken, context: &mut Context) {
        for listener in &self.listeners {
            if listener.token != handled {
                set_events(listener, EventFlags::empty(), context);
            }
        }
        context
            .timers
            .set(context.now + ACCEPT_PAUSE, Timer::ResumeAccepting);
    }

    /// Accepts connections again on all listeners.
    pub(crate) fn resume(&self, context: &Context) {
        for listener in &self.listeners {
            set_events(listener, EventFlags::IN, context);
        }
    }
}

/// Changes which events the poller reports for a listener.
fn set_events(listener: &Listener, events: EventFlags, context: &Context) {
    let result = context
        .poller
        .modify(&listener.socket, listener.token, events);
    if let Err(error) = result {
        log::error!("accept: {error}");
    }
}
