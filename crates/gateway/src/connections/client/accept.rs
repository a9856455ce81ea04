//! Accepting client connections.

use super::client_connections::ClientConnections;
use super::connection::ClientConnection;
use crate::client_protocol::resp::RespProtocol;
use crate::client_protocol::sftp::SftpProtocol;
use crate::client_protocol::ClientProtocol;
use crate::connections::descriptors::{is_local_shortage, is_out_of_descriptors};
use crate::connections::listener::{Listener, ListenerProtocol};
use crate::connections::socket::{Interest, Socket};
use crate::context::{Context, DescriptorKind};
use std::io;
use std::net::TcpStream;
use std::ops::ControlFlow;

/// Maximum number of connections accepted from a listener in one turn of the event loop. The limit
/// keeps a burst of new connections from delaying requests that have arrived on other connections.
const MAX_ACCEPTED_PER_TURN: usize = 64;

/// Why [`ClientConnections::accept`] has returned.
#[must_use]
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AcceptOutcome {
    /// The accept queue is empty, or the limits for this turn have been reached.
    Done,
    /// Accepting failed or the limit on client connections is reached, and no connection was
    /// evicted. The caller pauses all listeners; see
    /// [`Listeners::pause_briefly`](crate::connections::listener::Listeners::pause_briefly).
    Blocked,
}

impl ClientConnections {
    /// Accepts connections from a listener that the poller has reported as ready. If the limit on
    /// client connections is reached, idle connections are evicted.
    pub(crate) fn accept(&mut self, listener: &Listener, context: &mut Context) -> AcceptOutcome {
        for accepted in 0..MAX_ACCEPTED_PER_TURN {
            // The poller's event guarantees only one connection in the accept queue. Do not evict
            // a connection for another that may not exist.
            if self.is_full() && accepted > 0 {
                return AcceptOutcome::Done;
            }
            if self.is_full() && !self.evict_one(context) {
                return AcceptOutcome::Blocked;
            }
            match listener.accept() {
                Ok(stream) => self.add(stream, listener.protocol(), context),
                Err(error) => match self.handle_accept_error(&error, context) {
                    ControlFlow::Continue(()) => {}
                    ControlFlow::Break(outcome) => return outcome,
                },
            }
        }
        AcceptOutcome::Done
    }

    /// Returns whether the limit on client connections is reached.
    fn is_full(&self) -> bool {
        self.count >= self.limits.clients
    }

    /// Handles an error of `accept`. Returns `Continue` if the next connection can be accepted in
    /// this turn.
    fn handle_accept_error(
        &mut self,
        error: &io::Error,
        context: &mut Context,
    ) -> ControlFlow<AcceptOutcome> {
        match error.kind() {
            io::ErrorKind::WouldBlock => return ControlFlow::Break(AcceptOutcome::Done),
            io::ErrorKind::ConnectionAborted | io::ErrorKind::Interrupted => {
                return ControlFlow::Continue(());
            }
            _ => log::warn!("cannot accept a client connection: {error}"),
        }
        if !is_local_shortage(error) {
            // An error of the connection that was next in the queue, which has left it.
            return ControlFlow::Continue(());
        }
        // The listener stays ready as long as a connection is in its accept queue. Evicting an idle
        // connection frees a descriptor for the waiting connection.
        if is_out_of_descriptors(error) && self.evict_one(context) {
            return ControlFlow::Continue(());
        }
        ControlFlow::Break(AcceptOutcome::Blocked)
    }

    /// Adds an accepted connection. Drops it if its socket cannot be set up.
    fn add(&mut self, stream: TcpStream, protocol: ListenerProtocol, context: &mut Context) {
        let kind = DescriptorKind::Client;
        let Ok(socket) = Socket::register(stream, kind, Interest::Read, context) else {
            return;
        };
        self.count += 1;
        let protocol = self.new_protocol(protocol);
        let client = ClientConnection::new(socket, protocol, context.now);
        self.store(client, &mut context.timers);
    }

    /// Creates the protocol state of a new connection.
    fn new_protocol(&self, protocol: ListenerProtocol) -> Box<dyn ClientProtocol> {
        match (protocol, &self.sftp) {
            (ListenerProtocol::Sftp, Some(shared)) => Box::new(SftpProtocol::new(shared.clone())),
            _ => Box::new(RespProtocol::new(self.request_schema.clone())),
        }
    }
}
