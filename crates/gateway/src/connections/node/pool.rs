//! The connections to one node.

use super::idle_timeout::IdleTimeoutEstimate;
use crate::connections::ConnectionToken;
use crate::inventory::Protocol;
use deployment_settings::{micros, DeploymentSettings};
use io_scheduler::Micros;
use std::net::SocketAddr;

/// An idle connection is closed after this part of the node's idle timeout: a request written to a connection
/// that the node closes just then would count as one that may have run.
const IDLE_TIMEOUT_FRACTION: f64 = 0.7;
/// The idle timeout where the settings state none.
const DEFAULT_IDLE_TIMEOUT: Micros = 20_000_000;

/// Where a node listens, and for what.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct NodeAddress {
    /// Where connections go.
    pub(crate) address: SocketAddr,
    /// What is spoken there.
    pub(crate) protocol: Protocol,
}

/// The connections to one node.
#[derive(Debug)]
pub(super) struct ConnectionPool {
    /// Where new connections go, once that is known.
    pub(super) address: Option<NodeAddress>,
    pub(super) idle_timeout: IdleTimeoutEstimate,
    /// Tokens of connections that carry no request; the last used is used next.
    pub(super) idle: Vec<ConnectionToken>,
    /// All connections, idle or not.
    pub(super) count: usize,
}

impl ConnectionPool {
    pub(super) fn new(settings: &DeploymentSettings) -> ConnectionPool {
        let stated_ms = settings.allowed.conn_idle_ms;
        let max_idle =
            if stated_ms > 0.0 { micros(stated_ms * IDLE_TIMEOUT_FRACTION) } else { DEFAULT_IDLE_TIMEOUT };
        ConnectionPool {
            address: None,
            idle_timeout: IdleTimeoutEstimate::new(max_idle),
            idle: Vec::new(),
            count: 0,
        }
    }
}
