//! What an inventory may state about a node, in either format.

use super::error::InvalidVar;
use super::{InventoryNode, Protocol};
use crate::endpoint::EndpointRecord;
use deployment_settings::micros;
use io_scheduler::EndpointStatus;
use serde::Deserialize;
use std::fmt;
use std::net::SocketAddr;

/// The vars that this program knows; others are left to the tools that know them.
#[derive(Clone, Debug, Default, Deserialize)]
pub(super) struct Vars {
    /// Name of the node in CSV; in YAML the host's key names it.
    pub name: Option<String>,
    /// Its IP address with a port.
    address: Option<String>,
    /// Its zone.
    zone: Option<String>,
    /// Shard that it holds.
    shard: Option<u64>,
    /// Name of the protocol that it speaks.
    protocol: Option<String>,
    /// Name of its status.
    status: Option<String>,
    /// When its process last started, in milliseconds.
    since_ms: Option<f64>,
}

/// A var that is required or has a restricted value.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum VarName {
    Name,
    Address,
    Shard,
    Status,
    Protocol,
}

impl fmt::Display for VarName {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            VarName::Name => "name",
            VarName::Address => "address",
            VarName::Shard => "shard",
            VarName::Status => "status",
            VarName::Protocol => "protocol",
        })
    }
}

/// A var of one node that cannot be used; the caller adds the place.
#[derive(Debug, thiserror::Error)]
#[error("{var}: {source}")]
pub(super) struct NodeError {
    /// The var.
    pub var: VarName,
    /// What is wrong with it.
    pub source: InvalidVar,
}

impl Vars {
    /// These vars, completed by `defaults` where they are not set. The name is not inherited.
    pub(super) fn with_defaults(&self, defaults: &Vars) -> Vars {
        Vars {
            name: None,
            address: self.address.clone().or_else(|| defaults.address.clone()),
            zone: self.zone.clone().or_else(|| defaults.zone.clone()),
            shard: self.shard.or(defaults.shard),
            protocol: self.protocol.clone().or_else(|| defaults.protocol.clone()),
            status: self.status.clone().or_else(|| defaults.status.clone()),
            since_ms: self.since_ms.or(defaults.since_ms),
        }
    }

    /// The node of that name that these vars describe.
    pub(super) fn to_node(&self, name: &str) -> Result<InventoryNode, NodeError> {
        let address = self.address.as_deref().ok_or(NodeError::not_set(VarName::Address))?;
        let status = self.parse_status()?;
        let address = parse_address(address)?;
        let protocol = self.parse_protocol()?;
        let shard = self.shard.ok_or(NodeError::not_set(VarName::Shard))?;
        let record = EndpointRecord {
            name: name.to_owned(),
            zone: self.zone.clone().unwrap_or_default(),
            shard,
            status,
            started_at: self.since_ms.filter(|ms| *ms > 0.0).map(micros),
        };
        Ok(InventoryNode { record, address, protocol })
    }

    /// The status; in service if none is set.
    fn parse_status(&self) -> Result<EndpointStatus, NodeError> {
        match self.status.as_deref() {
            None | Some("in_service") => Ok(EndpointStatus::InService),
            Some("terminating") => Ok(EndpointStatus::Draining),
            Some("terminated") => Ok(EndpointStatus::Removed),
            Some(other) => {
                Err(NodeError { var: VarName::Status, source: InvalidVar::UnknownStatus(other.to_owned()) })
            }
        }
    }

    /// The protocol; RESP2 if none is set.
    fn parse_protocol(&self) -> Result<Protocol, NodeError> {
        match self.protocol.as_deref() {
            None | Some("resp2") => Ok(Protocol::Resp2),
            Some("sftp") => Ok(Protocol::Sftp),
            Some(other) => Err(NodeError {
                var: VarName::Protocol,
                source: InvalidVar::UnknownProtocol(other.to_owned()),
            }),
        }
    }
}

impl NodeError {
    /// A required var that is not set.
    pub(super) fn not_set(var: VarName) -> NodeError {
        NodeError { var, source: InvalidVar::NotSet }
    }
}

/// Parses an IP address with a port.
fn parse_address(text: &str) -> Result<SocketAddr, NodeError> {
    text.parse()
        .map_err(|_| NodeError { var: VarName::Address, source: InvalidVar::NotAnAddress(text.to_owned()) })
}
