//! Accepting client connections.

use super::client_connections::ClientConnections;
use super::connection::ClientConnection;
use crate::client_protocol::resp::RespProtocol;
use crate::client_protocol::sftp::SftpProtocol;
use crate::client_protocol::ClientProtocol;
use crate::connections::descriptors::is_out_of_descriptors;
use crate::connections::listener::{Listener, ListenerProtocol};
use crate::connections::socket::{Interest, Socket};
use crate::context::{ConnectionKind, Context};
use std::io;
use std::net::TcpStream;
use std::ops::ControlFlow;

/// How many connections are accepted from a listener in one turn, so that a burst of new
/// connections does not delay the requests that have arrived on others.
const MAX_ACCEPTED_PER_TURN: usize = 64;

/// Why accepting has stopped for this turn.
#[must_use]
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AcceptOutcome {
    /// No further connection waits, or enough of them were accepted.
    Done,
    /// A connection waits that cannot be accepted, and no idle one can be closed for it. Accepting
    /// must pause, or the event loop would spin.
    Blocked,
}

impl ClientConnections {
    /// Accepts the connections that wait at a listener, which the poller has reported as ready.
    /// Idle connections are closed for them if the limit is reached.
    pub(crate) fn accept(&mut self, listener: &Listener, context: &mut Context) -> AcceptOutcome {
        for accepted in 0..MAX_ACCEPTED_PER_TURN {
            // The poller's report proves only that the first one waits: no connection is closed
            // for a further one that may not exist.
            if self.is_full() && accepted > 0 {
                return AcceptOutcome::Done;
            }
            while self.is_full() {
                if !self.evict_one(context) {
                    return AcceptOutcome::Blocked;
                }
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

    /// Whether the limit on client connections is reached.
    fn is_full(&self) -> bool {
        self.count >= self.limits.clients
    }

    /// Handles an error of `accept`; returns whether to go on accepting in this turn.
    fn handle_accept_error(
        &mut self,
        error: &io::Error,
        context: &mut Context,
    ) -> ControlFlow<AcceptOutcome> {
        match error.kind() {
            io::ErrorKind::WouldBlock => return ControlFlow::Break(AcceptOutcome::Done),
            io::ErrorKind::ConnectionAborted => return ControlFlow::Continue(()),
            _ => log::warn!("accept: {error}"),
        }
        // The listener stays ready while a connection waits that cannot be accepted. Closing an
        // idle connection frees a descriptor for it.
        if is_out_of_descriptors(error) && self.evict_one(context) {
            return ControlFlow::Continue(());
        }
        ControlFlow::Break(AcceptOutcome::Blocked)
    }

    /// Adds an accepted connection; it is dropped if its socket can't be set up.
    fn add(&mut self, stream: TcpStream, protocol: ListenerProtocol, context: &mut Context) {
        let kind = ConnectionKind::Client;
        let Ok(socket) = Socket::register(stream, kind, Interest::Read, context) else {
            return;
        };
        self.count += 1;
        let protocol = self.new_protocol(protocol);
        let client = ClientConnection::new(socket, protocol, context.now);
        self.store(client, &mut context.timers);
    }

    /// The protocol state of a new connection.
    fn new_protocol(&self, protocol: ListenerProtocol) -> Box<dyn ClientProtocol> {
        match (protocol, &self.sftp) {
            (ListenerProtocol::Sftp, Some(shared)) => Box::new(SftpProtocol::new(shared.clone())),
            _ => Box::new(RespProtocol::new(self.request_schema.clone())),
        }
    }
}
