//! Sockets that accept client connections.

use super::{Connection, Context, GatewayError};
use crate::timer_queue::Timer;
use io_scheduler::Micros;
use rustix::event::epoll::EventFlags;
use std::io;
use std::net::{SocketAddr, TcpListener};

/// Length of the system's queue of connections that wait to be accepted. It is long, as hundreds of clients
/// may connect at once: the system drops what exceeds the queue, and a client repeats that only after a
/// second.
const ACCEPT_BACKLOG: i32 = 1024;
/// How long accepting pauses when a connection cannot be accepted and no idle one can be closed for it.
const ACCEPT_PAUSE: Micros = 20_000;

/// Which protocol the clients of a listener speak.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ListenerProtocol {
    /// RESP2.
    Resp,
    /// SFTP packets, without the SSH transport.
    Sftp,
}

/// A socket that accepts client connections.
pub(crate) struct Listener {
    /// The listening socket, in non-blocking mode.
    pub(crate) socket: TcpListener,
    /// The protocol of its clients.
    pub(crate) protocol: ListenerProtocol,
}

/// Listens on an address and registers the listener with the poller.
pub(super) fn listen(
    address: SocketAddr,
    protocol: ListenerProtocol,
    context: &mut Context,
) -> Result<(), GatewayError> {
    let socket =
        TcpListener::bind(address).map_err(|error| GatewayError::Listen { address, error })?;
    // The standard library listens with a shorter queue; listening again only changes its length.
    rustix::net::listen(&socket, ACCEPT_BACKLOG).map_err(io::Error::from)?;
    socket.set_nonblocking(true)?;
    let protocol_name = match protocol {
        ListenerProtocol::Resp => "RESP2",
        ListenerProtocol::Sftp => "SFTP",
    };
    log::info!("listening for {protocol_name} on {}", socket.local_addr()?);
    let token = context.connections.reserve();
    context.poller.register(&socket, token, EventFlags::IN)?;
    context
        .connections
        .put(token, Connection::Listener(Listener { socket, protocol }));
    Ok(())
}

/// Stops accepting on all listeners for [`ACCEPT_PAUSE`].
pub(crate) fn pause_accepting(context: &mut Context) {
    set_listener_events(EventFlags::empty(), context);
    context
        .timers
        .set(context.now + ACCEPT_PAUSE, Timer::ResumeAccepting);
}

/// Accepts connections again on all listeners.
pub(super) fn resume_accepting(context: &Context) {
    set_listener_events(EventFlags::IN, context);
}

/// Changes which events the poller reports for every listener. A listener that is just being handled is not
/// in the table and so keeps its events.
fn set_listener_events(events: EventFlags, context: &Context) {
    for (token, connection) in context.connections.iter() {
        let Connection::Listener(listener) = connection else {
            continue;
        };
        if let Err(error) = context.poller.modify(&listener.socket, token, events) {
            log::error!("accept: {error}");
        }
    }
}
