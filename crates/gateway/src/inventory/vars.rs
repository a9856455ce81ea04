//! The vars (variables) that describe a node in an inventory of either format, and their conversion
//! to a node.
//!
//! The names of the vars and their values are those of the endpoint list's wire format. Within the
//! inventory, only this module, the required headings of `csv_format` and the error messages use
//! them.

use super::error::InvalidVar;
use super::node::InventoryNode;
use crate::endpoint::{EndpointRecord, Protocol};
use deployment_settings::micros;
use io_scheduler::{EndpointStatus, Micros, Shard};
use serde::Deserialize;
use std::fmt;
use std::net::SocketAddr;

/// The vars of a node that the gateway uses. Other vars are ignored, because an inventory can
/// contain vars for other tools.
#[derive(Clone, Debug, Default, Deserialize)]
pub(super) struct Vars {
    /// Name of the node in CSV. In YAML, the key of the host is the name of the node.
    pub name: Option<String>,
    /// IP address and port of the node.
    address: Option<String>,
    /// Zone of the node; empty if absent.
    zone: Option<String>,
    /// Shard whose objects the node stores.
    shard: Option<u64>,
    /// Protocol that the node speaks, `resp2` or `sftp`; `resp2` if absent.
    protocol: Option<String>,
    /// Status of the node: `in_service`, `terminating` or `terminated`; `in_service` if absent.
    status: Option<String>,
    /// Time in milliseconds at which the node's process last started; absent or 0 if unknown.
    #[serde(rename = "since_ms")]
    started_at_ms: Option<f64>,
}

/// A var that errors can name: one that is required or accepts only certain values.
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

/// A var of a node that is missing or invalid. The caller adds the location in the file.
#[derive(Debug, thiserror::Error)]
#[error("{var}: {source}")]
pub(super) struct NodeError {
    /// The var.
    pub var: VarName,
    /// Why the var is invalid.
    pub source: InvalidVar,
}

impl Vars {
    /// Returns a copy in which every var that is not set has the value from `defaults`. The name is
    /// not copied.
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

    /// Converts the vars to a node with the given name. If several vars are invalid, the error is
    /// about the first of these: address not set, invalid status, invalid address, invalid
    /// protocol, shard not set.
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

    /// Returns the time at which the node's process last started; `None` if the var is absent or
    /// not above 0.
    fn started_at(&self) -> Option<Micros> {
        match self.started_at_ms {
            Some(started_at_ms) if started_at_ms > 0.0 => Some(micros(started_at_ms)),
            _ => None,
        }
    }

    /// Parses the status; an absent status means in service.
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

    /// Parses the protocol; an absent protocol means RESP2.
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
    /// Creates the error for a required var that is not set.
    pub(super) fn not_set(var: VarName) -> NodeError {
        NodeError {
            var,
            source: InvalidVar::NotSet,
        }
    }
}

/// Parses an IP address and port.
fn parse_address(text: &str) -> Result<SocketAddr, NodeError> {
    text.parse().map_err(|_| NodeError {
        var: VarName::Address,
        source: InvalidVar::NotAnAddress(text.to_owned()),
    })
}
