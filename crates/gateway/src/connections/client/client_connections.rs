//! Storage of all client connections and of the state that they share.

use super::connection::ClientConnection;
use super::eviction_queue::EvictionQueue;
use crate::client_protocol::resp::RequestSchema;
use crate::client_protocol::sftp::SftpListenerState;
use crate::config::Config;
use crate::connection_token::ConnectionToken;
use crate::connections::descriptors::ConnectionLimits;
use crate::timer_queue::TimerQueue;
use io_scheduler::Micros;
use std::collections::HashMap;
use std::rc::Rc;

/// All client connections, with their shared limits and totals.
pub(crate) struct ClientConnections {
    /// The connections by token, except the one that is being handled at the moment.
    connections: HashMap<ConnectionToken, ClientConnection>,
    /// Class names, plan names and size bounds for parsing requests, shared by all RESP2
    /// connections.
    pub(super) request_schema: Rc<RequestSchema>,
    /// State shared by all SFTP connections; `None` if SFTP is not configured.
    pub(super) sftp: Option<Rc<SftpListenerState>>,
    /// Maximum numbers of connections.
    pub(super) limits: ConnectionLimits,
    /// Number of open connections.
    pub(super) count: usize,
    /// Number of open connections that have sent a request and are not in a lingering close.
    pub(super) requesting_clients: usize,
    /// Total bytes of encoded replies, over all connections, that have not been written to a socket
    /// yet.
    pub(super) unsent_bytes: usize,
    /// Total bytes reserved, over all connections, for replies that are not encoded yet and will
    /// have to wait for earlier ones.
    pub(super) reserved_reply_bytes: usize,
    /// Total capacity in bytes of the input buffers that contain no complete command.
    pub(super) partial_command_bytes: usize,
    /// Total capacity in bytes of the input buffers that contain commands which wait for earlier
    /// ones of their client.
    pub(super) waiting_command_bytes: usize,
    /// The connections that may be closed to free descriptors, in the order of eviction.
    pub(super) eviction_queue: EvictionQueue,
}

impl ClientConnections {
    /// Creates an empty set of connections. `now` is the first client request id of SFTP requests,
    /// so that the ids differ from those of an earlier run of the gateway.
    pub(crate) fn new(config: &Config, limits: ConnectionLimits, now: Micros) -> ClientConnections {
        let file_bytes = config.memory_budget.sftp_file_bytes;
        let sftp = config
            .sftp
            .clone()
            .map(|sftp| SftpListenerState::new(sftp, &config.settings, file_bytes, now as u64));
        ClientConnections {
            connections: HashMap::new(),
            request_schema: RequestSchema::new(&config.settings),
            sftp,
            limits,
            count: 0,
            requesting_clients: 0,
            unsent_bytes: 0,
            reserved_reply_bytes: 0,
            partial_command_bytes: 0,
            waiting_command_bytes: 0,
            eviction_queue: EvictionQueue::default(),
        }
    }

    /// Returns the number of open connections.
    pub(crate) fn count(&self) -> usize {
        self.count
    }

    /// Returns the total bytes of input that is not run yet.
    pub(crate) fn input_bytes(&self) -> usize {
        self.partial_command_bytes + self.waiting_command_bytes
    }

    /// Returns the total bytes of replies that are not written yet, or reserved for them.
    pub(crate) fn reply_bytes(&self) -> usize {
        self.unsent_bytes + self.reserved_reply_bytes
    }

    /// Returns the connection with this token; `None` if it is closed or being handled.
    pub(super) fn get(&self, token: ConnectionToken) -> Option<&ClientConnection> {
        self.connections.get(&token)
    }

    /// Removes a connection from the map and the eviction queue, so that the caller can handle it.
    pub(super) fn take(&mut self, token: ConnectionToken) -> Option<ClientConnection> {
        let mut client = self.connections.remove(&token)?;
        if let Some(candidate) = client.eviction_candidate.take() {
            self.eviction_queue.remove(&candidate);
        }
        Some(client)
    }

    /// Stores a connection after it was handled. Updates its timer, and adds it to the eviction
    /// queue if it may be evicted.
    pub(super) fn store(&mut self, mut client: ClientConnection, timers: &mut TimerQueue) {
        let close_at = client.close_at();
        client.timer.set(close_at, timers);
        client.eviction_candidate = client.to_eviction_candidate();
        if let Some(candidate) = client.eviction_candidate {
            self.eviction_queue.insert(candidate);
        }
        self.connections.insert(client.token(), client);
    }
}
