//! The connections to one node.

use super::idle_timeout::IdleTimeoutEstimate;
use crate::connection_token::ConnectionToken;
use crate::endpoint::Protocol;
use deployment_settings::{micros, DeploymentSettings};
use io_scheduler::Micros;
use std::net::SocketAddr;

/// Part of the node's idle timeout after which the gateway closes an idle connection. It must do
/// so before the node does: a request that crosses the node's close on the wire would count as one
/// that may have run.
const IDLE_TIMEOUT_FRACTION: f64 = 0.7;
/// Upper bound of the idle time, in microseconds, where the settings state no idle timeout.
const DEFAULT_IDLE_TIMEOUT: Micros = 20_000_000;

/// Address and protocol of a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct NodeAddress {
    /// The address to connect to.
    pub(crate) address: SocketAddr,
    /// The protocol that the node speaks there.
    pub(crate) protocol: Protocol,
}

/// The connections to one node.
#[derive(Debug)]
pub(super) struct ConnectionPool {
    /// Address for new connections; `None` until [`super::NodeConnections::set_address`].
    pub(super) address: Option<NodeAddress>,
    /// How long a connection to the node may be idle.
    pub(super) idle_timeout_estimate: IdleTimeoutEstimate,
    /// Tokens of the connections that carry no request, sorted by when they became idle: the first
    /// one has been idle for longest, the last one is used next.
    pub(super) idle: Vec<ConnectionToken>,
    /// Number of open connections, idle or not.
    pub(super) count: usize,
}

impl ConnectionPool {
    /// An empty pool without an address.
    pub(super) fn new(settings: &DeploymentSettings) -> ConnectionPool {
        let stated_ms = settings.permissions.conn_idle_ms;
        let max_idle = if stated_ms > 0.0 {
            micros(stated_ms * IDLE_TIMEOUT_FRACTION)
        } else {
            DEFAULT_IDLE_TIMEOUT
        };
        ConnectionPool {
            address: None,
            idle_timeout_estimate: IdleTimeoutEstimate::new(max_idle),
            idle: Vec::new(),
            count: 0,
        }
    }

    /// Takes out the tokens of all idle connections.
    pub(super) fn take_idle_tokens(&mut self) -> Vec<ConnectionToken> {
        std::mem::take(&mut self.idle)
    }

    /// Takes out the token of the connection that has been idle for longest.
    pub(super) fn pop_longest_idle(&mut self) -> Option<ConnectionToken> {
        if self.idle.is_empty() {
            return None;
        }
        Some(self.idle.remove(0))
    }

    /// Removes a connection that is closed.
    pub(super) fn remove(&mut self, token: ConnectionToken) {
        self.count -= 1;
        self.idle.retain(|idle| *idle != token);
    }
}
