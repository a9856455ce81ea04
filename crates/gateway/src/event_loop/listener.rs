//! Sockets that accept client connections.

use super::{Connection, Context, GatewayError};
use crate::timer_queue::Timer;
use io_scheduler::Micros;
use rustix::event::epoll::EventFlags;
use std::io;
use std::net::{SocketAddr, TcpListener};

/// Connections that may wait to be accepted.
const ACCEPT_BACKLOG: i32 = 1024;
/// How long accepting pauses when no descriptor is left and no connection can be closed.
const ACCEPT_PAUSE: Micros = 20_000;

/// Which protocol the clients of a listener speak.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ListenerProtocol {
    /// RESP2.
    Resp,
    /// SFTP-style file commands.
    Sftp,
}

/// A socket that accepts client connections.
pub(crate) struct Listener {
    /// The listening socket, not blocking.
    pub(crate) socket: TcpListener,
    /// What its clients speak.
    pub(crate) protocol: ListenerProtocol,
}

/// Listens on an address.
pub(super) fn listen(
    address: SocketAddr,
    protocol: ListenerProtocol,
    context: &mut Context,
) -> Result<(), GatewayError> {
    let socket = TcpListener::bind(address).map_err(|error| GatewayError::Listen { address, error })?;
    // Clients connect by the hundreds at times; what a short queue drops is tried again only a second later.
    rustix::net::listen(&socket, ACCEPT_BACKLOG).map_err(io::Error::from)?;
    socket.set_nonblocking(true)?;
    let protocol_name = match protocol {
        ListenerProtocol::Resp => "RESP2",
        ListenerProtocol::Sftp => "file commands",
    };
    log::info!("listening for {protocol_name} on {}", socket.local_addr()?);
    let token = context.connections.reserve();
    context.poller.register(&socket, token, EventFlags::IN)?;
    context.connections.put(token, Connection::Listener(Listener { socket, protocol }));
    Ok(())
}

/// Stops accepting for a short time.
pub(crate) fn pause_accepting(context: &mut Context) {
    set_listener_events(EventFlags::empty(), context);
    context.timers.set(context.now + ACCEPT_PAUSE, Timer::ResumeAccepting);
}

/// Accepts connections again.
pub(super) fn resume_accepting(context: &Context) {
    set_listener_events(EventFlags::IN, context);
}

/// Changes what the poller reports of every listener in the table.
fn set_listener_events(events: EventFlags, context: &Context) {
    for (token, connection) in context.connections.iter() {
        let Connection::Listener(listener) = connection else { continue };
        if let Err(error) = context.poller.modify(&listener.socket, token, events) {
            log::error!("accept: {error}");
        }
    }
}
