//! Opening connections to nodes, within the limits on their number.

use super::connection::NodeConnection;
use super::node_connections::NodeConnections;
use super::pool::NodeAddress;
use crate::connections::descriptors::{is_local_shortage, is_out_of_descriptors};
use crate::connections::socket::{start_connecting, Interest, Socket};
use crate::context::{Context, DescriptorKind};
use crate::dispatcher::AbortCause;
use deployment_settings::micros;
use io_scheduler::{Micros, NodeId};
use std::io;
use std::net::{SocketAddr, TcpStream};

/// Maximum number of open connections to one node. The scheduler's concurrency limit is usually far
/// lower.
const MAX_CONNECTIONS_PER_NODE: usize = 24;
/// Minimum connect timeout, in milliseconds.
const MIN_CONNECT_TIMEOUT_MS: f64 = 1.0;

/// Why a new connection to a node cannot be opened.
#[derive(Debug, thiserror::Error)]
pub(super) enum OpenError {
    /// The node has no connection pool, because it is not listed or no longer listed.
    #[error("the node is not listed")]
    NotListed,
    /// The node's pool has no address yet.
    #[error("the address of the node is unknown")]
    NoAddress,
    /// The limit for this node or for all nodes together is reached, and there was no idle
    /// connection to close.
    #[error("the connection limit is reached")]
    TooManyConnections,
    /// A system call failed.
    #[error(transparent)]
    System(#[from] io::Error),
}

impl OpenError {
    /// Returns why the attempt that needed the connection is aborted.
    pub(super) fn abort_cause(&self) -> AbortCause {
        match self {
            OpenError::TooManyConnections => AbortCause::LocalShortage,
            OpenError::System(error) if is_local_shortage(error) => AbortCause::LocalShortage,
            OpenError::NotListed | OpenError::NoAddress | OpenError::System(_) => {
                AbortCause::NoConnection
            }
        }
    }
}

impl NodeConnections {
    /// Starts to open a connection to a node. The caller assigns an attempt to the connection
    /// before it is established.
    pub(super) fn open(
        &mut self,
        node: NodeId,
        context: &mut Context,
    ) -> Result<NodeConnection, OpenError> {
        self.close_idle_if_at_limit(node, context);
        let address = self.address_for_new_connection(node)?;
        let stream = self.connect(address.socket_address, context)?;
        let kind = DescriptorKind::Node;
        let socket = Socket::register(stream, kind, Interest::Connect, context)?;
        self.count += 1;
        if let Some(pool) = self.pools.get_mut(&node) {
            pool.count += 1;
        }
        let max_value_bytes = context.config.memory_budget.max_value_bytes;
        let mut connection = NodeConnection::new(socket, node, address, max_value_bytes);
        let timeout_at = context.now + connect_timeout(context);
        connection.timer.set(Some(timeout_at), &mut context.timers);
        Ok(connection)
    }

    /// Returns the address for a new connection to a node, or an error if the limits do not allow
    /// one.
    fn address_for_new_connection(&self, node: NodeId) -> Result<NodeAddress, OpenError> {
        let pool = self.pools.get(&node).ok_or(OpenError::NotListed)?;
        let address = pool.address.ok_or(OpenError::NoAddress)?;
        if self.count >= self.max_count || pool.count >= MAX_CONNECTIONS_PER_NODE {
            return Err(OpenError::TooManyConnections);
        }
        Ok(address)
    }

    /// Closes an idle connection if a new one would exceed a limit.
    fn close_idle_if_at_limit(&mut self, node: NodeId, context: &mut Context) {
        if self.count >= self.max_count {
            self.close_longest_idle(context);
        }
        // The pool may still contain idle connections that were not suitable for the request,
        // because only idempotent requests may use them.
        let Some(pool) = self.pools.get_mut(&node) else {
            return;
        };
        if pool.count < MAX_CONNECTIONS_PER_NODE {
            return;
        }
        if let Some(longest_idle) = pool.pop_longest_idle() {
            self.close_idle_connection(longest_idle, context);
        }
    }

    /// Starts to connect. Descriptors may run out even below the limit on connections, because
    /// other parts of the system use them too. In that case the longest idle connection is closed
    /// and the call is repeated once.
    fn connect(&mut self, address: SocketAddr, context: &mut Context) -> io::Result<TcpStream> {
        match start_connecting(address) {
            Err(error) if is_out_of_descriptors(&error) => {
                self.close_longest_idle(context);
                start_connecting(address)
            }
            result => result,
        }
    }

    /// Closes the connection that has been idle for longest, of the node with the most idle
    /// connections.
    fn close_longest_idle(&mut self, context: &mut Context) {
        let pool = self
            .pools
            .iter_mut()
            .max_by_key(|(node, pool)| (pool.idle.len(), **node));
        let Some((_, pool)) = pool else { return };
        if let Some(longest_idle) = pool.pop_longest_idle() {
            self.close_idle_connection(longest_idle, context);
        }
    }
}

/// Returns the connect timeout in microseconds.
fn connect_timeout(context: &Context) -> Micros {
    let features_and_limits = &context.config.settings.features_and_limits;
    micros(
        features_and_limits
            .connect_timeout_ms
            .max(MIN_CONNECT_TIMEOUT_MS),
    )
}
