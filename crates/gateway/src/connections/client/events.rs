//! What happens to a client connection: it is ready, its timer expires, a response arrives.

use super::client_connections::ClientConnections;
use super::connection::{ClientConnection, Lifecycle, MAX_INPUT_BYTES};
use crate::connection_token::ConnectionToken;
use crate::connections::socket::StreamStatus;
use crate::context::Context;
use crate::storage_request::{ReplySlot, Response};
use rustix::event::epoll::EventFlags;
use std::io;

impl ClientConnections {
    /// Handles a connection that the poller reported.
    pub(crate) fn handle_ready(
        &mut self,
        token: ConnectionToken,
        flags: EventFlags,
        context: &mut Context,
    ) {
        let Some(mut client) = self.take(token) else {
            return;
        };
        match read_input(&mut client, flags) {
            Ok(StreamStatus::Open) => self.advance(client, context),
            // The client has disconnected: commands that it sent before are not run.
            Ok(StreamStatus::Ended) | Err(_) => self.drop_connection(client, context),
        }
    }

    /// Handles the timer of a connection: it has been idle for too long, its command was not
    /// completed in time, or its client does not read the replies.
    pub(crate) fn handle_timeout(&mut self, token: ConnectionToken, context: &mut Context) {
        let Some(mut client) = self.take(token) else {
            return;
        };
        client.timer.note_expired();
        if client.is_closing() || !client.is_fully_replied() {
            return self.drop_connection(client, context);
        }
        let reply = client.protocol.timeout_reply();
        if client.partial_command_since.is_none() || reply.is_empty() {
            return self.close_unless_active(client, context);
        }
        client.close_after_reply(reply);
        self.advance(client, context);
    }

    /// Passes the response to a request on to the command that it belongs to, and sends the
    /// command's reply once it is complete.
    pub(crate) fn respond(
        &mut self,
        reply_slot: ReplySlot,
        response: Response,
        context: &mut Context,
    ) {
        let Some(mut client) = self.take(reply_slot.connection) else {
            return;
        };
        let mut encoded = Vec::new();
        client
            .protocol
            .encode_response(reply_slot.slot, response, &mut encoded);
        // A reply may be complete before all requests of its command are: once one part of a
        // listing has failed, the others are reported as no longer needed.
        for id in client.complete_replies(encoded) {
            context.client_disconnected(id);
        }
        client.last_active_at = context.now;
        self.advance(client, context);
    }
}

/// Reads what has arrived on a connection that the poller reported with these events.
fn read_input(client: &mut ClientConnection, flags: EventFlags) -> io::Result<StreamStatus> {
    if let Lifecycle::Lingering { remaining } = &mut client.lifecycle {
        return client.socket.discard_available(remaining);
    }
    if flags.intersects(EventFlags::RDHUP | EventFlags::HUP | EventFlags::ERR) {
        // The end of the stream may be behind more input than one call reads. The disconnection is
        // reported now rather than once all of that input has been read.
        return Ok(StreamStatus::Ended);
    }
    if flags.contains(EventFlags::IN) {
        return client.socket.read_available(MAX_INPUT_BYTES);
    }
    Ok(StreamStatus::Open)
}
