//! The endpoint list as the simulator sends it.

use super::{NodeName, ZoneName};
use deployment_settings::micros;
use io_scheduler::{EndpointListEvent, EndpointStatus, Micros};
use serde::Deserialize;

/// What the rows of a message are.
#[derive(Clone, Copy, Deserialize)]
pub enum EndpointListKind {
    /// The list that the gateway cached before it started.
    #[serde(rename = "SAVED")]
    Cached,
    /// The complete list.
    #[serde(rename = "FULL")]
    Snapshot,
    /// The rows that changed.
    #[serde(rename = "INCREMENTAL")]
    Delta,
    /// The poll failed; there are no rows.
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

/// One row: a storage node.
#[derive(Deserialize)]
pub struct EndpointRow {
    /// The zone of the node; empty if absent.
    #[serde(default, rename = "az")]
    pub zone: ZoneName,
    /// The node.
    #[serde(rename = "server")]
    pub node: NodeName,
    /// Number of the shard that it holds.
    #[serde(default, rename = "unit_group")]
    pub shard: u64,
    /// Whether it accepts requests.
    pub condition: EndpointCondition,
    /// Point in time of the simulated clock at which it last started, in milliseconds; absent or 0
    /// if that is not known.
    #[serde(rename = "online_since_ms")]
    pub started_at_ms: Option<f64>,
}

impl EndpointRow {
    /// When the node last started, if that is known.
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

/// Condition of a storage node.
#[derive(Clone, Copy, Deserialize)]
pub enum EndpointCondition {
    /// It accepts requests.
    #[serde(rename = "SERVING")]
    InService,
    /// It completes its requests and accepts no new ones.
    #[serde(rename = "DRAINING")]
    Draining,
    /// It was removed from the list.
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
