//! Starting attempts: choosing an idle connection of the node's pool or opening a new one.

use super::connection::{InFlight, NodeConnection};
use super::idle_timeout::IdleTimeoutEstimate;
use super::NodeConnections;
use crate::connection_token::ConnectionToken;
use crate::connections::descriptors::is_out_of_descriptors;
use crate::connections::socket::{Interest, Socket};
use crate::dispatcher::{Operation, StorageRequest};
use crate::event_loop::{Connection, Context};
use crate::timer_queue::{AttemptId, Timer};
use deployment_settings::micros;
use io_scheduler::{Micros, NodeId, Outcome};
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

/// How many connections to one node may be open at once. The scheduler's concurrency limit is usually far
/// lower.
const MAX_CONNECTIONS_PER_NODE: usize = 24;

/// Why a new connection to a node can't be opened.
#[derive(Debug, thiserror::Error)]
enum OpenError {
    /// The node has no connection pool: it is not listed, or no longer.
    #[error("not listed")]
    NotListed,
    /// The node's pool has no address.
    #[error("no address")]
    NoAddress,
    /// The limit for the node or for all nodes together is reached, and no connection is idle.
    #[error("too many connections")]
    TooManyConnections,
    /// A system call failed.
    #[error(transparent)]
    System(#[from] io::Error),
}

impl NodeConnections {
    /// Starts an attempt, which times out at `deadline`, on an idle connection or on a new one.
    pub(crate) fn start_attempt(
        &mut self,
        attempt: AttemptId,
        node: NodeId,
        deadline: Micros,
        request: Arc<StorageRequest>,
        context: &mut Context,
    ) {
        // The client may have disconnected earlier in this turn.
        if !context.dispatcher.is_awaiting(attempt) {
            return;
        }
        let token = match self.connection_for(node, request.operation, context) {
            Ok(token) => token,
            Err(error) => {
                log::debug!("node {}: {error}", node.0);
                return context.abort_attempt(attempt, Outcome::ConnectFailed);
            }
        };
        let Some(Connection::Node(mut connection)) = context.connections.take(token) else {
            return context.abort_attempt(attempt, Outcome::ConnectFailed);
        };
        self.attempt_connections.insert(attempt, token);
        connection.in_flight = Some(InFlight {
            attempt,
            request,
            deadline,
            effect_offset: None,
            is_marked_written: false,
            started_at: context.now,
        });
        self.advance(token, connection, context);
    }

    /// The token of a connection for a new request: an idle one if the pool has a suitable one, else a new
    /// one.
    fn connection_for(
        &mut self,
        node: NodeId,
        operation: Operation,
        context: &mut Context,
    ) -> Result<ConnectionToken, OpenError> {
        match self.take_idle(node, operation, context) {
            Some(token) => Ok(token),
            None => self.open(node, context),
        }
    }

    /// Takes an idle connection out of a node's pool, the last used one first.
    ///
    /// Connections that have been idle for too long for any request, or that are not reusable, are closed on
    /// the way. A connection that is still being established needs no such check, as it never was idle at the
    /// node.
    fn take_idle(
        &mut self,
        node: NodeId,
        operation: Operation,
        context: &mut Context,
    ) -> Option<ConnectionToken> {
        loop {
            let pool = self.pools.get_mut(&node)?;
            let estimate = pool.idle_timeout_estimate;
            let token = pool.idle.pop()?;
            let Some(Connection::Node(mut connection)) = context.connections.take(token) else {
                continue;
            };
            let idle_for = connection.idle_since.map_or(0, |since| context.now - since);
            let is_allowed = is_idle_time_allowed(idle_for, operation, estimate);
            if !is_allowed && estimate.allows_idempotent(idle_for) {
                // It stays in the pool for idempotent requests. All others have been idle for longer still.
                pool.idle.push(token);
                context.connections.put(token, Connection::Node(connection));
                return None;
            }
            let is_usable = !connection.is_connected || is_allowed && connection.is_reusable();
            if is_usable {
                connection.idle_before_request = idle_for;
                context.connections.put(token, Connection::Node(connection));
                return Some(token);
            }
            self.drop_connection(token, connection, context);
        }
    }

    /// Starts to open a connection to a node and returns its token. The caller assigns an attempt to it
    /// before it is established.
    fn open(&mut self, node: NodeId, context: &mut Context) -> Result<ConnectionToken, OpenError> {
        self.close_idle_for_new(node, context);
        let pool = self.pools.get(&node).ok_or(OpenError::NotListed)?;
        let address = pool.address.ok_or(OpenError::NoAddress)?;
        if self.count >= self.max_count || pool.count >= MAX_CONNECTIONS_PER_NODE {
            return Err(OpenError::TooManyConnections);
        }
        let mut socket = self.connect(address.address, context)?;
        let token = context.connections.reserve();
        if let Err(error) = socket.set_interest(&context.poller, token, Interest::Connect) {
            context.connections.free(token);
            return Err(error.into());
        }
        self.count += 1;
        if let Some(pool) = self.pools.get_mut(&node) {
            pool.count += 1;
        }
        let mut connection =
            NodeConnection::new(socket, node, address, context.config.budget.max_value_bytes);
        let connect_timeout = micros(
            context
                .config
                .settings
                .permissions
                .connect_timeout_ms
                .max(1.0),
        );
        context.timers.reschedule(
            &mut connection.timer_deadline,
            Some(context.now + connect_timeout),
            Timer::Connection(token),
        );
        context.connections.put(token, Connection::Node(connection));
        Ok(token)
    }

    /// Closes an idle connection where a new one would exceed a limit.
    fn close_idle_for_new(&mut self, node: NodeId, context: &mut Context) {
        if self.count >= self.max_count {
            self.close_longest_idle(context);
        }
        // A pool may still have idle connections here: ones that only an idempotent request may use.
        let Some(pool) = self.pools.get_mut(&node) else {
            return;
        };
        if pool.count >= MAX_CONNECTIONS_PER_NODE && !pool.idle.is_empty() {
            let longest_idle = pool.idle.remove(0);
            self.close_idle_connection(longest_idle, context);
        }
    }

    /// Starts to connect. Descriptors may run out below the limit on connections, as other parts of the
    /// system use them too: then the longest idle connection is closed and the call repeated once.
    fn connect(&mut self, address: SocketAddr, context: &mut Context) -> io::Result<Socket> {
        match Socket::connect(address) {
            Err(error) if is_out_of_descriptors(&error) => {
                self.close_longest_idle(context);
                Socket::connect(address)
            }
            result => result,
        }
    }

    /// Closes the longest idle connection of the node with the most idle connections.
    fn close_longest_idle(&mut self, context: &mut Context) {
        let pool = self
            .pools
            .iter_mut()
            .max_by_key(|(node, pool)| (pool.idle.len(), **node));
        let Some((_, pool)) = pool else { return };
        if !pool.idle.is_empty() {
            let longest_idle = pool.idle.remove(0);
            self.close_idle_connection(longest_idle, context);
        }
    }
}

/// Whether a request can use a connection that was idle for `idle_for`. All writes count as non-idempotent
/// here, whatever the idempotency of their class.
fn is_idle_time_allowed(
    idle_for: Micros,
    operation: Operation,
    estimate: IdleTimeoutEstimate,
) -> bool {
    match operation {
        Operation::Write => estimate.allows_non_idempotent(idle_for),
        Operation::Read | Operation::Stat | Operation::List => estimate.allows_idempotent(idle_for),
    }
}
