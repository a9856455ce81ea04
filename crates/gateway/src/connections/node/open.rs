//! Which connection carries an attempt: an idle one, or a new one.

use super::connection::{InFlight, NodeConnection};
use super::NodeConnections;
use crate::connections::descriptors::is_out_of_descriptors;
use crate::connections::socket::{Interest, Socket};
use crate::connections::ConnectionToken;
use crate::dispatcher::{Operation, StorageRequest};
use crate::event_loop::{Connection, Context};
use crate::timer_queue::{AttemptId, Timer};
use deployment_settings::micros;
use io_scheduler::{Micros, NodeId, Outcome};
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

/// Connections to one node; the scheduler's concurrency limit lies far below.
const MAX_CONNECTIONS_PER_NODE: usize = 24;

/// Why there is no new connection to a node.
#[derive(Debug, thiserror::Error)]
enum OpenError {
    #[error("not listed")]
    NotListed,
    #[error("no address")]
    NoAddress,
    #[error("too many connections")]
    TooManyConnections,
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
        // Its client may have disconnected in this very turn.
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
            may_run_after: None,
            is_reported_written: false,
            started_at: context.now,
        });
        self.advance(token, connection, context);
    }

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

    /// Takes an idle connection out of a pool. It must be quiet: what came without a request would be taken
    /// for the next response.
    fn take_idle(
        &mut self,
        node: NodeId,
        operation: Operation,
        context: &mut Context,
    ) -> Option<ConnectionToken> {
        loop {
            let pool = self.pools.get_mut(&node)?;
            let idle_timeout = pool.idle_timeout;
            let token = pool.idle.pop()?;
            let Some(Connection::Node(mut connection)) = context.connections.take(token) else { continue };
            let idle_for = connection.idle_since.map_or(0, |since| context.now - since);
            let is_allowed = match operation {
                Operation::Write => idle_timeout.allows_non_repeatable(idle_for),
                Operation::Read | Operation::Stat | Operation::List => {
                    idle_timeout.allows_repeatable(idle_for)
                }
            };
            if !is_allowed && idle_timeout.allows_repeatable(idle_for) {
                // Good enough for repeatable requests. Those before it have been idle for longer.
                pool.idle.push(token);
                context.connections.put(token, Connection::Node(connection));
                return None;
            }
            if !connection.is_connected || is_allowed && connection.is_quiet() {
                connection.idle_before_request = idle_for;
                context.connections.put(token, Connection::Node(connection));
                return Some(token);
            }
            self.drop_connection(token, connection, context);
        }
    }

    /// Opens a connection to a node; it gets its request before it is established.
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
        let connect_timeout = micros(context.config.settings.allowed.connect_timeout_ms.max(1.0));
        context.timers.reschedule(
            &mut connection.deadline,
            Some(context.now + connect_timeout),
            Timer::Connection(token),
        );
        context.connections.put(token, Connection::Node(connection));
        Ok(token)
    }

    /// Closes idle connections where a new one would exceed a limit.
    fn close_idle_for_new(&mut self, node: NodeId, context: &mut Context) {
        if self.count >= self.max_count {
            self.close_longest_idle(context);
        }
        // Idle ones that only repeatable requests may use are closed for a request that is not.
        let Some(pool) = self.pools.get_mut(&node) else { return };
        if pool.count >= MAX_CONNECTIONS_PER_NODE && !pool.idle.is_empty() {
            let longest_idle = pool.idle.remove(0);
            self.close_token(longest_idle, context);
        }
    }

    /// Connects. Descriptors may run out for other reasons: then one idle connection is closed, once.
    fn connect(&mut self, address: SocketAddr, context: &mut Context) -> io::Result<Socket> {
        match Socket::connect(address) {
            Err(error) if is_out_of_descriptors(&error) => {
                self.close_longest_idle(context);
                Socket::connect(address)
            }
            result => result,
        }
    }

    /// Closes the longest idle connection of the node that has the most idle ones.
    fn close_longest_idle(&mut self, context: &mut Context) {
        let pool = self.pools.iter_mut().max_by_key(|(node, pool)| (pool.idle.len(), **node));
        let Some((_, pool)) = pool else { return };
        if !pool.idle.is_empty() {
            let longest_idle = pool.idle.remove(0);
            self.close_token(longest_idle, context);
        }
    }
}
