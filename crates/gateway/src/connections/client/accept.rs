//! New client connections.

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

/// Connections accepted in one turn: requests that have arrived must not wait for hundreds of them.
const MAX_ACCEPTED_PER_TURN: usize = 64;

impl ClientConnections {
    /// Accepts the connections that wait at a listener, and closes idle ones for them where that is needed.
    pub(crate) fn accept(&mut self, listener: &Listener, context: &mut Context) {
        for accepted in 0..MAX_ACCEPTED_PER_TURN {
            // Only the first is known to wait: nobody is closed for one that may not come.
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

    fn is_full(&self) -> bool {
        self.count >= self.limits.clients
    }

    /// Decides whether accepting goes on after an error.
    fn handle_accept_error(&mut self, error: &io::Error, context: &mut Context) -> ControlFlow<()> {
        match error.kind() {
            io::ErrorKind::WouldBlock => return ControlFlow::Break(()),
            io::ErrorKind::ConnectionAborted => return ControlFlow::Continue(()),
            _ => log::warn!("accept: {error}"),
        }
        // Without a descriptor the waiting connection stays ready: an idle one is closed for it, or else the
        // loop would turn on it without end.
        if is_out_of_descriptors(error) && self.evict_one(context) {
            return ControlFlow::Continue(());
        }
        pause_accepting(context);
        ControlFlow::Break(())
    }

    fn add(&mut self, stream: TcpStream, protocol: ListenerProtocol, context: &mut Context) {
        let protocol: Box<dyn ClientProtocol> = match (protocol, &self.sftp) {
            (ListenerProtocol::Sftp, Some(shared)) => Box::new(SftpProtocol::new(shared.clone())),
            _ => Box::new(RespProtocol::new(self.request_names.clone())),
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
        self.store(token, ClientConnection::new(socket, protocol, context.now), context);
    }
}
