//! The pool of connections to one node.

use super::idle_timeout::IdleTimeoutEstimate;
use crate::connection_token::ConnectionToken;
use crate::endpoint::Protocol;
use deployment_settings::{micros, DeploymentSettings};
use io_scheduler::Micros;
use std::net::SocketAddr;

/// The gateway closes an idle connection after this fraction of the node's idle timeout. It must do
/// so before the node does: if the node closes the connection while a request is on the wire, the
/// gateway has to assume that the node may have executed the request.
const IDLE_TIMEOUT_FRACTION: f64 = 0.7;
/// Maximum idle time in microseconds if the settings specify no idle timeout.
const DEFAULT_IDLE_TIMEOUT: Micros = 20_000_000;

/// Address and protocol of a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct NodeAddress {
    /// The address to connect to.
    pub(crate) socket_address: SocketAddr,
    /// The protocol that the node uses at this address.
    pub(crate) protocol: Protocol,
}

/// The pool of connections to one node.
#[derive(Debug)]
pub(super) struct ConnectionPool {
    /// Address for new connections; `None` until [`super::NodeConnections::set_address`] is called.
    pub(super) address: Option<NodeAddress>,
    /// Estimate of how long a connection to the node may be idle.
    pub(super) idle_timeout_estimate: IdleTimeoutEstimate,
    /// Tokens of the idle connections, in the order in which they became idle. The first has been
    /// idle for longest; the last is reused first.
    pub(super) idle: Vec<ConnectionToken>,
    /// Number of open connections, idle or not.
    pub(super) count: usize,
}

impl ConnectionPool {
    /// Creates an empty pool without an address.
    pub(super) fn new(settings: &DeploymentSettings) -> ConnectionPool {
        let stated_ms = settings.features_and_limits.conn_idle_ms;
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

    /// Removes and returns the tokens of all idle connections. They stay counted as open until they
    /// are closed.
    pub(super) fn take_idle_tokens(&mut self) -> Vec<ConnectionToken> {
        std::mem::take(&mut self.idle)
    }

    /// Removes and returns the token of the connection that has been idle for longest.
    pub(super) fn pop_longest_idle(&mut self) -> Option<ConnectionToken> {
        if self.idle.is_empty() {
            return None;
        }
        Some(self.idle.remove(0))
    }

    /// Removes a connection that has been closed.
    pub(super) fn remove(&mut self, token: ConnectionToken) {
        self.count -= 1;
        self.idle.retain(|idle| *idle != token);
    }
}
