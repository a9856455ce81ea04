//! Event handlers of client connections: the socket is ready, the timer has expired, or a response
//! has arrived.

use super::client_connections::ClientConnections;
use super::connection::{ClientConnection, Lifecycle};
use crate::connection_token::ConnectionToken;
use crate::connections::socket::StreamStatus;
use crate::context::Context;
use crate::storage_request::{ReplySlot, Response};
use io_scheduler::Micros;
use rustix::event::epoll::EventFlags;
use std::io;

impl ClientConnections {
    /// Returns when input was last read from a connection whose client sends more than is read in
    /// one turn of the event loop; `None` for other connections.
    pub(crate) fn bulk_read_at(&self, token: ConnectionToken) -> Option<Micros> {
        self.get(token)?.bulk_read_at
    }

    /// Handles a connection that the poller has reported with `flags`.
    pub(crate) fn handle_ready(
        &mut self,
        token: ConnectionToken,
        flags: EventFlags,
        context: &mut Context,
    ) {
        let Some(mut client) = self.take(token) else {
            return;
        };
        match read_input(&mut client, flags, context.now) {
            Ok(StreamStatus::Open) => self.run_commands_and_flush(client, context),
            // The client has disconnected, so commands that are still in the input buffer are not
            // run.
            Ok(StreamStatus::Ended) | Err(_) => self.drop_connection(client, context),
        }
    }

    /// Handles the expiry of a connection's timer: the connection was idle for too long, a command
    /// was not completed in time, or the client does not read its replies.
    pub(crate) fn handle_timeout(&mut self, token: ConnectionToken, context: &mut Context) {
        let Some(mut client) = self.take(token) else {
            return;
        };
        client.timer.mark_expired();
        log::debug!(
            "client connection {}: its time limit has passed, {} commands without a reply, \
             {} bytes of an incomplete command",
            u64::from(token),
            client.replies.len(),
            client.socket.input.len()
        );
        if client.is_closing() || !client.is_fully_replied() {
            return self.drop_connection(client, context);
        }
        let reply = client.protocol.timeout_reply();
        if client.partial_command_since.is_none() || reply.is_empty() {
            return self.close_unless_active(client, context);
        }
        client.close_after_reply(reply);
        self.run_commands_and_flush(client, context);
    }

    /// Passes a response to the command that its request belongs to, and sends the reply to the
    /// command once it is complete.
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
            .encode_response(reply_slot.command_number, response, &mut encoded);
        // A listing is replied to as soon as one shard has failed. The dispatcher is then notified
        // that the responses of the other shards are not needed.
        for id in client.complete_replies(encoded) {
            context.record_response_not_needed(id);
        }
        client.last_active_at = context.now;
        self.run_commands_and_flush(client, context);
    }
}

/// Reads the available input of a connection that the poller has reported with `flags`.
fn read_input(
    client: &mut ClientConnection,
    flags: EventFlags,
    now: Micros,
) -> io::Result<StreamStatus> {
    if let Lifecycle::Lingering { remaining_bytes } = &mut client.lifecycle {
        return client.socket.discard_available(remaining_bytes);
    }
    if flags.intersects(EventFlags::RDHUP | EventFlags::HUP | EventFlags::ERR) {
        // More unread input than one call reads may precede the end of the stream. Report the
        // disconnection without reading it.
        return Ok(StreamStatus::Ended);
    }
    if flags.contains(EventFlags::IN) {
        return client.read_input(now);
    }
    Ok(StreamStatus::Open)
}
