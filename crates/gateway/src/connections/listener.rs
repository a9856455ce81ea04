//! Listening sockets for client connections.

use crate::connection_token::ConnectionToken;
use crate::context::{Context, DescriptorKind};
use crate::timer_queue::Timer;
use io_scheduler::Micros;
use rustix::event::epoll::EventFlags;
use std::io;
use std::net::{TcpListener, TcpStream};

/// Length of the kernel's queue of connections that wait to be accepted. Hundreds of clients may
/// connect at once. The kernel drops connection attempts that exceed the queue, and a client
/// retries a dropped attempt only after a second.
const ACCEPT_BACKLOG: i32 = 1024;
/// How long, in microseconds, accepting pauses after a connection could not be accepted and there
/// was no idle connection to close for it.
const ACCEPT_PAUSE: Micros = 20_000;

/// The protocol that the clients of a listener use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ListenerProtocol {
    /// RESP2.
    Resp,
    /// SFTP packets, without the SSH transport.
    Sftp,
}

impl ListenerProtocol {
    /// Returns the name of the protocol for log messages.
    fn name(self) -> &'static str {
        match self {
            ListenerProtocol::Resp => "RESP2",
            ListenerProtocol::Sftp => "SFTP",
        }
    }
}

/// A listening socket for clients of one protocol.
pub(crate) struct Listener {
    /// The token by which the poller reports the socket.
    token: ConnectionToken,
    /// The listening socket, in non-blocking mode.
    socket: TcpListener,
    /// The protocol of the clients that connect here.
    protocol: ListenerProtocol,
}

impl Listener {
    /// Returns the protocol of the clients that connect here.
    pub(crate) fn protocol(&self) -> ListenerProtocol {
        self.protocol
    }

    /// Accepts the next connection. Returns an error of the kind [`io::ErrorKind::WouldBlock`] if
    /// no connection is waiting.
    pub(crate) fn accept(&self) -> io::Result<TcpStream> {
        let (stream, _) = self.socket.accept()?;
        Ok(stream)
    }
}

/// All listeners of the gateway.
#[derive(Default)]
pub(crate) struct Listeners {
    /// The listeners in the order in which they were added.
    listeners: Vec<Listener>,
}

impl Listeners {
    /// Starts listening on a bound socket with a longer accept queue, and registers it with the
    /// poller.
    pub(crate) fn add(
        &mut self,
        socket: TcpListener,
        protocol: ListenerProtocol,
        context: &mut Context,
    ) -> io::Result<()> {
        // The standard library listens with a shorter queue. A second call of `listen` only changes
        // the length of the queue.
        rustix::net::listen(&socket, ACCEPT_BACKLOG)?;
        socket.set_nonblocking(true)?;
        let address = socket.local_addr()?;
        log::info!("listening for {} on {address}", protocol.name());
        let token = context.register(&socket, DescriptorKind::Listener, EventFlags::IN)?;
        self.listeners.push(Listener {
            token,
            socket,
            protocol,
        });
        Ok(())
    }

    /// Returns the listener with this token.
    pub(crate) fn get(&self, token: ConnectionToken) -> Option<&Listener> {
        self.listeners
            .iter()
            .find(|listener| listener.token == token)
    }

    /// Stops accepting on all listeners for [`ACCEPT_PAUSE`]. The poller reports a listener as long
    /// as a connection is in its accept queue, so without the pause the event loop would not wait.
    pub(crate) fn pause_briefly(&self, context: &mut Context) {
        self.pause_all(context);
        context
            .timers
            .set(context.now + ACCEPT_PAUSE, Timer::ResumeAccepting);
    }

    /// Stops accepting on all listeners until [`Self::resume`]. Clients can connect, and wait in
    /// the accept queue.
    pub(crate) fn pause_all(&self, context: &Context) {
        for listener in &self.listeners {
            set_events(listener, EventFlags::empty(), context);
        }
    }

    /// Resumes accepting on all listeners.
    pub(crate) fn resume(&self, context: &Context) {
        for listener in &self.listeners {
            set_events(listener, EventFlags::IN, context);
        }
    }
}

/// Sets the events that the poller reports for a listener.
fn set_events(listener: &Listener, events: EventFlags, context: &Context) {
    let result = context
        .poller
        .modify(&listener.socket, listener.token, events);
    if let Err(error) = result {
        log::error!("cannot change the poller events of a listener: {error}");
    }
}
