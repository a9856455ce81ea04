//! The message with the endpoint list or changes to it.

use super::{NodeName, ZoneName};
use deployment_settings::micros;
use io_scheduler::{EndpointListEvent, EndpointStatus, Micros};
use serde::Deserialize;

/// The kind of an endpoint list message, which determines how its rows are applied.
#[derive(Clone, Copy, Deserialize)]
pub enum EndpointListKind {
    /// The complete list that the gateway had cached before it started.
    #[serde(rename = "SAVED")]
    Cached,
    /// The complete current list.
    #[serde(rename = "FULL")]
    Snapshot,
    /// Only the rows that changed.
    #[serde(rename = "INCREMENTAL")]
    Delta,
    /// The poll failed. The message has no rows.
    #[serde(rename = "FAILED")]
    PollFailed,
}

impl From<EndpointListKind> for EndpointListEvent {
    fn from(kind: EndpointListKind) -> Self {
        match kind {
            EndpointListKind::Cached => EndpointListEvent::Cached,
            EndpointListKind::Snapshot => EndpointListEvent::Snapshot,
            EndpointListKind::Delta => EndpointListEvent::Delta,
            EndpointListKind::PollFailed => EndpointListEvent::PollFailed,
        }
    }
}

/// A row of the endpoint list, which describes one storage node.
#[derive(Deserialize)]
pub struct EndpointRow {
    /// Zone of the node; an absent zone counts as empty.
    #[serde(default, rename = "az")]
    pub zone: ZoneName,
    /// Name of the node.
    #[serde(rename = "server")]
    pub node: NodeName,
    /// Number of the shard whose objects the node stores; absent counts as 0.
    #[serde(default, rename = "unit_group")]
    pub shard: u64,
    /// Whether the node accepts requests.
    pub condition: EndpointCondition,
    /// Time of the simulated clock at which the node last started, in milliseconds; absent or 0 if
    /// unknown.
    #[serde(rename = "online_since_ms")]
    pub started_at_ms: Option<f64>,
}

impl EndpointRow {
    /// Returns the time at which the node last started; `None` if it is unknown.
    #[must_use]
    pub fn started_at(&self) -> Option<Micros> {
        let started_at_ms = self.started_at_ms?;
        if started_at_ms > 0.0 {
            Some(micros(started_at_ms))
        } else {
            None
        }
    }
}

/// The status of a storage node in the endpoint list.
#[derive(Clone, Copy, Deserialize)]
pub enum EndpointCondition {
    /// The node accepts requests.
    #[serde(rename = "SERVING")]
    InService,
    /// The node completes the requests that it has, but accepts no new ones.
    #[serde(rename = "DRAINING")]
    Draining,
    /// The node was removed from the list.
    #[serde(rename = "DELETED")]
    Removed,
}

impl From<EndpointCondition> for EndpointStatus {
    fn from(condition: EndpointCondition) -> Self {
        match condition {
            EndpointCondition::InService => EndpointStatus::InService,
            EndpointCondition::Draining => EndpointStatus::Draining,
            EndpointCondition::Removed => EndpointStatus::Removed,
        }
    }
}
