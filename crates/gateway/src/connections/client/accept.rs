//! Accepting client connections.

use super::{ClientConnection, ClientConnections};
use crate::client_protocol::resp::RespProtocol;
use crate::client_protocol::sftp::SftpProtocol;
use crate::client_protocol::ClientProtocol;
use crate::connections::descriptors::is_out_of_descriptors;
use crate::connections::socket::{Interest, Socket};
use crate::event_loop::listener::{pause_accepting, Listener, ListenerProtocol};
use crate::event_loop::Context;
use std::io;
use std::net::TcpStream;
use std::ops::ControlFlow;

/// How many connections are accepted from a listener in one turn, so that a burst of new connections does not
/// delay the requests that have arrived on others.
const MAX_ACCEPTED_PER_TURN: usize = 64;

impl ClientConnections {
    /// Accepts the connections that wait at a listener, which the poller has reported as ready. Idle
    /// connections are closed for them if the limit is reached.
    pub(crate) fn accept(&mut self, listener: &Listener, context: &mut Context) {
        for accepted in 0..MAX_ACCEPTED_PER_TURN {
            // The poller's report proves only that the first one waits: no connection is closed for a further
            // one that may not exist.
            if self.is_full() && accepted > 0 {
                return;
            }
            while self.is_full() {
                if !self.evict_one(context) {
                    return pause_accepting(context);
                }
            }
            match listener.socket.accept() {
                Ok((stream, _)) => self.add(stream, listener.protocol, context),
                Err(error) => {
                    if self.handle_accept_error(&error, context).is_break() {
                        return;
                    }
                }
            }
        }
    }

    /// Whether the limit on client connections is reached.
    fn is_full(&self) -> bool {
        self.count >= self.limits.clients
    }

    /// Handles an error of `accept`; returns whether to go on accepting in this turn.
    fn handle_accept_error(&mut self, error: &io::Error, context: &mut Context) -> ControlFlow<()> {
        match error.kind() {
            io::ErrorKind::WouldBlock => return ControlFlow::Break(()),
            io::ErrorKind::ConnectionAborted => return ControlFlow::Continue(()),
            _ => log::warn!("accept: {error}"),
        }
        // The listener stays ready while a connection waits that cannot be accepted. Closing an idle
        // connection frees a descriptor for it. Failing that, accepting pauses, or the event loop would spin.
        if is_out_of_descriptors(error) && self.evict_one(context) {
            return ControlFlow::Continue(());
        }
        pause_accepting(context);
        ControlFlow::Break(())
    }

    /// Adds an accepted connection to the table; it is dropped if its socket can't be set up.
    fn add(&mut self, stream: TcpStream, protocol: ListenerProtocol, context: &mut Context) {
        let protocol: Box<dyn ClientProtocol> = match (protocol, &self.sftp) {
            (ListenerProtocol::Sftp, Some(shared)) => Box::new(SftpProtocol::new(shared.clone())),
            _ => Box::new(RespProtocol::new(self.request_schema.clone())),
        };
        let token = context.connections.reserve();
        let socket = Socket::new(stream).and_then(|mut socket| {
            socket.set_interest(&context.poller, token, Interest::Read)?;
            Ok(socket)
        });
        let Ok(socket) = socket else {
            context.connections.free(token);
            return;
        };
        self.count += 1;
        self.store(
            token,
            ClientConnection::new(socket, protocol, context.now),
            context,
        );
    }
}
