//! Client connections: their counters and limits, and what happens to them.
//!
//! A method that is given a connection by value has taken it out of the table. It ends by storing it again or
//! by dropping it.

mod accept;
mod closing;
mod commands;
mod connection;
mod eviction;

pub(crate) use connection::ClientConnection;

use crate::client_protocol::resp::{RequestNames, MAX_COMMAND_BYTES};
use crate::client_protocol::sftp::SftpShared;
use crate::config::Config;
use crate::connections::descriptors::ConnectionLimits;
use crate::connections::socket::StreamStatus;
use crate::connections::ConnectionToken;
use crate::dispatcher::{ReplySlot, Response};
use crate::event_loop::{Connection, Context};
use crate::timer_queue::Timer;
use connection::Lifecycle;
use eviction::{EvictionCandidate, EvictionPriority, EvictionQueue};
use io_scheduler::Micros;
use rustix::event::epoll::EventFlags;
use std::rc::Rc;

/// Input buffered for a connection: one complete command with the lengths of its words.
const MAX_INPUT: usize = MAX_COMMAND_BYTES + (2 << 10);

/// The state of all client connections together.
pub(crate) struct ClientConnections {
    /// What RESP2 clients may name in their requests.
    request_names: Rc<RequestNames>,
    /// What the SFTP connections share, if the SFTP side is configured.
    sftp: Option<Rc<SftpShared>>,
    limits: ConnectionLimits,
    /// Open connections.
    count: usize,
    /// Connections that have sent a request.
    requesters: usize,
    /// Bytes of replies that clients have not taken yet.
    unsent_bytes: usize,
    /// Capacity in bytes of all input buffers; they hold commands that are not complete yet.
    partial_command_bytes: usize,
    eviction_queue: EvictionQueue,
}

impl ClientConnections {
    /// No connections yet; `now` makes the handles of SFTP clients differ from those of an earlier run.
    pub(crate) fn new(config: &Config, limits: ConnectionLimits, now: Micros) -> ClientConnections {
        let sftp = config.sftp.clone().map(|settings| {
            SftpShared::new(settings, &config.settings, config.budget.sftp_file_bytes, now as u64)
        });
        ClientConnections {
            request_names: RequestNames::new(&config.settings),
            sftp,
            limits,
            count: 0,
            requesters: 0,
            unsent_bytes: 0,
            partial_command_bytes: 0,
            eviction_queue: EvictionQueue::default(),
        }
    }

    /// Open connections.
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
            // The end may stand behind more input than is read here, and the requests must not wait for that.
            Ok(StreamStatus::Ended)
        } else if flags.contains(EventFlags::IN) {
            client.socket.read_available(MAX_INPUT)
        } else {
            Ok(StreamStatus::Open)
        };
        match status {
            Ok(StreamStatus::Open) => self.advance(token, client, context),
            // The client has disconnected, whatever else it has sent.
            Ok(StreamStatus::Ended) | Err(_) => self.drop_connection(token, client, context),
        }
    }

    /// Handles the timer of a connection: it was idle for too long, its command does not become complete, or
    /// its client does not take the replies.
    pub(crate) fn handle_timeout(
        &mut self,
        token: ConnectionToken,
        mut client: ClientConnection,
        context: &mut Context,
    ) {
        client.deadline = None;
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

    /// Replies to a command with the response to one of its requests.
    pub(crate) fn respond(&mut self, reply_slot: ReplySlot, response: Response, context: &mut Context) {
        let token = reply_slot.connection;
        let Some(mut client) = self.take(token, context) else { return };
        let mut encoded = Vec::new();
        client.protocol.encode_response(reply_slot.slot, response, &mut encoded);
        // Once one part of a listing has failed, the others need not go on.
        for id in client.complete_replies(encoded) {
            context.client_disconnected(id);
        }
        client.last_active_at = context.now;
        self.advance(token, client, context);
    }

    /// Takes a connection out of the table and of the eviction queue.
    fn take(&mut self, token: ConnectionToken, context: &mut Context) -> Option<ClientConnection> {
        let Some(Connection::Client(mut client)) = context.connections.take(token) else { return None };
        self.eviction_queue.remove(&mut client);
        Some(client)
    }

    /// Puts a connection back into the table, with its timer, and into the eviction queue if it may be closed
    /// for others.
    fn store(&mut self, token: ConnectionToken, mut client: ClientConnection, context: &mut Context) {
        let close_at = client.close_at();
        if close_at != client.deadline {
            context.timers.reschedule(&mut client.deadline, close_at, Timer::Connection(token));
        }
        if client.is_fully_replied() && !client.protocol.is_mid_command() {
            let priority = if client.socket.input.is_empty() {
                client.eviction_priority
            } else {
                EvictionPriority::MidCommand
            };
            let candidate = EvictionCandidate { priority, last_active_at: client.last_active_at, token };
            client.eviction_candidate = Some(candidate);
            self.eviction_queue.insert(candidate);
        }
        context.connections.put(token, Connection::Client(client));
    }
}
