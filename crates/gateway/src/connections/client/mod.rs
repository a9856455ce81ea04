//! Client connections: accepting, commands and replies, limits, eviction and closing.
//!
//! A method that takes a connection by value expects that the caller has taken it out of the table and out of
//! the eviction queue. The method stores it again or drops it before it returns.

mod accept;
mod closing;
mod commands;
mod connection;
mod eviction;

pub(crate) use connection::ClientConnection;

use crate::client_protocol::resp::{RequestSchema, MAX_COMMAND_BYTES};
use crate::client_protocol::sftp::SftpShared;
use crate::config::Config;
use crate::connection_token::ConnectionToken;
use crate::connections::descriptors::ConnectionLimits;
use crate::connections::socket::StreamStatus;
use crate::dispatcher::{ReplySlot, Response};
use crate::event_loop::{Connection, Context};
use crate::timer_queue::Timer;
use connection::Lifecycle;
use eviction::{EvictionCandidate, EvictionPriority, EvictionQueue};
use io_scheduler::Micros;
use rustix::event::epoll::EventFlags;
use std::rc::Rc;

/// Bytes of input buffered for a connection: enough for the largest command with the length prefixes of its
/// words.
const MAX_INPUT_BYTES: usize = MAX_COMMAND_BYTES + (2 << 10);

/// The state of all client connections together.
pub(crate) struct ClientConnections {
    /// The names of classes and plans, and the bounds, that all RESP2 requests share.
    request_schema: Rc<RequestSchema>,
    /// State shared by all SFTP connections, if SFTP is configured.
    sftp: Option<Rc<SftpShared>>,
    /// Limits on the numbers of connections.
    limits: ConnectionLimits,
    /// Number of open connections.
    count: usize,
    /// Number of connections that have sent a request.
    requesters: usize,
    /// Bytes of encoded replies that are not written yet.
    unsent_bytes: usize,
    /// Capacity in bytes of all input buffers: between turns they hold mostly incomplete commands.
    partial_command_bytes: usize,
    /// The connections that may be closed to free descriptors.
    eviction_queue: EvictionQueue,
}

impl ClientConnections {
    /// Without connections at first. `now` is a seed that makes the SFTP handles differ from those of an
    /// earlier run of the gateway.
    pub(crate) fn new(config: &Config, limits: ConnectionLimits, now: Micros) -> ClientConnections {
        let sftp = config.sftp.clone().map(|settings| {
            SftpShared::new(
                settings,
                &config.settings,
                config.budget.sftp_file_bytes,
                now as u64,
            )
        });
        ClientConnections {
            request_schema: RequestSchema::new(&config.settings),
            sftp,
            limits,
            count: 0,
            requesters: 0,
            unsent_bytes: 0,
            partial_command_bytes: 0,
            eviction_queue: EvictionQueue::default(),
        }
    }

    /// Number of open connections.
    pub(crate) fn count(&self) -> usize {
        self.count
    }

    /// Handles a connection that the poller reported.
    pub(crate) fn handle_ready(
        &mut self,
        token: ConnectionToken,
        mut client: ClientConnection,
        flags: EventFlags,
        context: &mut Context,
    ) {
        self.eviction_queue.remove(&mut client);
        let status = if let Lifecycle::Lingering { remaining } = &mut client.lifecycle {
            client.socket.discard_available(remaining)
        } else if flags.intersects(EventFlags::RDHUP | EventFlags::HUP | EventFlags::ERR) {
            // The end of the stream may be behind more input than one call reads. The client's open requests
            // are cancelled now rather than once all of that input has been read.
            Ok(StreamStatus::Ended)
        } else if flags.contains(EventFlags::IN) {
            client.socket.read_available(MAX_INPUT_BYTES)
        } else {
            Ok(StreamStatus::Open)
        };
        match status {
            Ok(StreamStatus::Open) => self.advance(token, client, context),
            // The client has disconnected: commands that it sent before are not run.
            Ok(StreamStatus::Ended) | Err(_) => self.drop_connection(token, client, context),
        }
    }

    /// Handles the timer of a connection: it has been idle for too long, its command was not completed in
    /// time, or its client does not read the replies.
    pub(crate) fn handle_timeout(
        &mut self,
        token: ConnectionToken,
        mut client: ClientConnection,
        context: &mut Context,
    ) {
        client.timer_deadline = None;
        self.eviction_queue.remove(&mut client);
        let reply = client.protocol.timeout_reply();
        if client.is_closing() || !client.is_fully_replied() {
            return self.drop_connection(token, client, context);
        }
        if client.partial_command_since.is_none() || reply.is_empty() {
            return self.close_unless_active(token, client, context);
        }
        client.close_after_reply(reply);
        self.advance(token, client, context);
    }

    /// Passes the response to a request on to the command that it belongs to, and sends the command's reply
    /// once it is complete.
    pub(crate) fn respond(
        &mut self,
        reply_slot: ReplySlot,
        response: Response,
        context: &mut Context,
    ) {
        let token = reply_slot.connection;
        let Some(mut client) = self.take(token, context) else {
            return;
        };
        let mut encoded = Vec::new();
        client
            .protocol
            .encode_response(reply_slot.slot, response, &mut encoded);
        // A reply may be complete before all requests of its command are: once one part of a listing has
        // failed, the other parts are cancelled.
        for id in client.complete_replies(encoded) {
            context.client_disconnected(id);
        }
        client.last_active_at = context.now;
        self.advance(token, client, context);
    }

    /// Takes a connection out of the table and of the eviction queue.
    fn take(&mut self, token: ConnectionToken, context: &mut Context) -> Option<ClientConnection> {
        let Some(Connection::Client(mut client)) = context.connections.take(token) else {
            return None;
        };
        self.eviction_queue.remove(&mut client);
        Some(client)
    }

    /// Puts a connection back into the table, updates its timer, and adds it to the eviction queue if no
    /// reply is pending and no sequence of commands such as an upload has begun.
    fn store(
        &mut self,
        token: ConnectionToken,
        mut client: ClientConnection,
        context: &mut Context,
    ) {
        let close_at = client.close_at();
        if close_at != client.timer_deadline {
            context.timers.reschedule(
                &mut client.timer_deadline,
                close_at,
                Timer::Connection(token),
            );
        }
        if client.is_fully_replied() && !client.protocol.is_mid_command() {
            let priority = if client.socket.input.is_empty() {
                client.eviction_priority
            } else {
                EvictionPriority::MidCommand
            };
            let candidate = EvictionCandidate {
                priority,
                last_active_at: client.last_active_at,
                token,
            };
            client.eviction_candidate = Some(candidate);
            self.eviction_queue.insert(candidate);
        }
        context.connections.put(token, Connection::Client(client));
    }
}
