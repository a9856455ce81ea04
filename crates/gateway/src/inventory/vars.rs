//! The variables that describe a node in an inventory, in either format, and their conversion to a
//! node.
//!
//! The names of the vars and of their values are those of the endpoint list on the wire. They
//! stand in this module only.

use super::error::InvalidVar;
use super::node::InventoryNode;
use crate::endpoint::{EndpointRecord, Protocol};
use deployment_settings::micros;
use io_scheduler::{EndpointStatus, Micros, Shard};
use serde::Deserialize;
use std::fmt;
use std::net::SocketAddr;

/// The vars of a node that this program uses; any others are ignored, as they are meant for other
/// tools.
#[derive(Clone, Debug, Default, Deserialize)]
pub(super) struct Vars {
    /// Name of the node in CSV; in YAML the host's key names it.
    pub name: Option<String>,
    /// Its IP address with a port.
    address: Option<String>,
    /// Its zone.
    zone: Option<String>,
    /// Shard that it stores.
    shard: Option<u64>,
    /// Name of its protocol.
    protocol: Option<String>,
    /// Name of its status.
    status: Option<String>,
    /// When its process last started, in milliseconds; 0 if this is not known.
    #[serde(rename = "since_ms")]
    started_at_ms: Option<f64>,
}

/// Names a var in errors: one that is required or has a restricted value.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum VarName {
    /// `name`.
    Name,
    /// `address`.
    Address,
    /// `shard`.
    Shard,
    /// `status`.
    Status,
    /// `protocol`.
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

/// A var of one node that cannot be used; the caller adds the location in the file.
#[derive(Debug, thiserror::Error)]
#[error("{var}: {source}")]
pub(super) struct NodeError {
    /// The var.
    pub var: VarName,
    /// What is wrong with it.
    pub source: InvalidVar,
}

impl Vars {
    /// A copy of these vars in which unset ones are taken from `defaults`, except the name.
    pub(super) fn with_defaults(&self, defaults: &Vars) -> Vars {
        Vars {
            name: None,
            address: self.address.clone().or_else(|| defaults.address.clone()),
            zone: self.zone.clone().or_else(|| defaults.zone.clone()),
            shard: self.shard.or(defaults.shard),
            protocol: self.protocol.clone().or_else(|| defaults.protocol.clone()),
            status: self.status.clone().or_else(|| defaults.status.clone()),
            started_at_ms: self.started_at_ms.or(defaults.started_at_ms),
        }
    }

    /// The node that these vars describe, with the given name. The first var that cannot be used
    /// is reported, in the order address (not set), status, address, protocol, shard.
    pub(super) fn to_node(&self, name: &str) -> Result<InventoryNode, NodeError> {
        let address = self
            .address
            .as_deref()
            .ok_or(NodeError::not_set(VarName::Address))?;
        let status = self.parse_status()?;
        let address = parse_address(address)?;
        let protocol = self.parse_protocol()?;
        let shard = self.shard.ok_or(NodeError::not_set(VarName::Shard))?;
        let record = EndpointRecord {
            name: name.to_owned(),
            zone: self.zone.clone().unwrap_or_default(),
            shard: Shard(shard),
            status,
            started_at: self.started_at(),
        };
        Ok(InventoryNode {
            record,
            address,
            protocol,
        })
    }

    /// When the node's process last started, if a time above 0 is set.
    fn started_at(&self) -> Option<Micros> {
        match self.started_at_ms {
            Some(started_at_ms) if started_at_ms > 0.0 => Some(micros(started_at_ms)),
            _ => None,
        }
    }

    /// Parses the status; in service if it is not set.
    fn parse_status(&self) -> Result<EndpointStatus, NodeError> {
        match self.status.as_deref() {
            None | Some("in_service") => Ok(EndpointStatus::InService),
            Some("terminating") => Ok(EndpointStatus::Draining),
            Some("terminated") => Ok(EndpointStatus::Removed),
            Some(other) => Err(NodeError {
                var: VarName::Status,
                source: InvalidVar::UnknownStatus(other.to_owned()),
            }),
        }
    }

    /// Parses the protocol; RESP2 if it is not set.
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
    /// The error for a required var that is not set.
    pub(super) fn not_set(var: VarName) -> NodeError {
        NodeError {
            var,
            source: InvalidVar::NotSet,
        }
    }
}

/// Parses an IP address with a port.
fn parse_address(text: &str) -> Result<SocketAddr, NodeError> {
    text.parse().map_err(|_| NodeError {
        var: VarName::Address,
        source: InvalidVar::NotAnAddress(text.to_owned()),
    })
}
