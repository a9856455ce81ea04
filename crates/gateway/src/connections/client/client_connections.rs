//! The owner of all client connections.

use super::connection::ClientConnection;
use super::eviction_queue::EvictionQueue;
use crate::client_protocol::resp::RequestSchema;
use crate::client_protocol::sftp::SftpShared;
use crate::config::Config;
use crate::connection_token::ConnectionToken;
use crate::connections::descriptors::ConnectionLimits;
use crate::timer_queue::TimerQueue;
use io_scheduler::Micros;
use std::collections::HashMap;
use std::rc::Rc;

/// All client connections, and the state of them together.
pub(crate) struct ClientConnections {
    /// The connections, except one that is being handled.
    connections: HashMap<ConnectionToken, ClientConnection>,
    /// The names of classes and plans, and the bounds, that all RESP2 requests share.
    pub(super) request_schema: Rc<RequestSchema>,
    /// State shared by all SFTP connections, if SFTP is configured.
    pub(super) sftp: Option<Rc<SftpShared>>,
    /// Limits on the numbers of connections.
    pub(super) limits: ConnectionLimits,
    /// Number of open connections.
    pub(super) count: usize,
    /// Number of connections that have sent a request.
    pub(super) requesters: usize,
    /// Bytes of encoded replies that are not written yet.
    pub(super) unsent_bytes: usize,
    /// Capacity in bytes of all input buffers: between turns they hold mostly incomplete commands.
    pub(super) partial_command_bytes: usize,
    /// The connections that may be closed to free descriptors.
    pub(super) eviction_queue: EvictionQueue,
}

impl ClientConnections {
    /// Without connections at first. `now` is a seed that makes the SFTP handles differ from those
    /// of an earlier run of the gateway.
    pub(crate) fn new(config: &Config, limits: ConnectionLimits, now: Micros) -> ClientConnections {
        let file_bytes = config.budget.sftp_file_bytes;
        let sftp = config
            .sftp
            .clone()
            .map(|settings| SftpShared::new(settings, &config.settings, file_bytes, now as u64));
        ClientConnections {
            connections: HashMap::new(),
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

    /// The connection with this token; `None` if it is closed or being handled.
    pub(super) fn get(&self, token: ConnectionToken) -> Option<&ClientConnection> {
        self.connections.get(&token)
    }

    /// Takes a connection out, also of the eviction queue, to handle it.
    pub(super) fn take(&mut self, token: ConnectionToken) -> Option<ClientConnection> {
        let mut client = self.connections.remove(&token)?;
        if let Some(candidate) = client.eviction_candidate.take() {
            self.eviction_queue.remove(&candidate);
        }
        Some(client)
    }

    /// Stores a connection after it was handled, updates its timer, and adds it to the eviction
    /// queue if it may be evicted.
    pub(super) fn store(&mut self, mut client: ClientConnection, timers: &mut TimerQueue) {
        let close_at = client.close_at();
        client.timer.set(close_at, timers);
        client.eviction_candidate = client.as_eviction_candidate();
        if let Some(candidate) = client.eviction_candidate {
            self.eviction_queue.insert(candidate);
        }
        self.connections.insert(client.token(), client);
    }
}
