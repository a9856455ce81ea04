//! The message about a request that a client sent.

use super::{ClassName, PlanName, RequestName};
use io_scheduler::Shard;
use serde::Deserialize;

/// A client's request that an instance received.
#[derive(Deserialize)]
pub struct IncomingRequest {
    /// Name of the request. Later messages refer to the request by this name.
    #[serde(rename = "ref")]
    pub request: RequestName,
    /// Name of the volume's plan.
    #[serde(rename = "qos_class")]
    pub plan: PlanName,
    /// Key of the object; absent if the request has none.
    #[serde(rename = "region")]
    pub object_key: Option<u64>,
    /// Name of the request's class.
    #[serde(rename = "lane")]
    pub class: ClassName,
    /// Id of the volume.
    #[serde(rename = "share_id")]
    pub volume: u64,
    /// Number of gateways that receive requests for the volume; absent counts as 0.
    #[serde(rename = "set_size")]
    pub hosts: Option<f64>,
    /// Time of the simulated clock at which the client stops waiting, in milliseconds.
    #[serde(rename = "due_ms")]
    pub deadline_ms: f64,
    /// Number of the shard that stores the object; negative for a new object. An absent value
    /// counts as 0, as for the other optional numbers on the wire.
    #[serde(default)]
    pub shard: f64,
    /// Size of the request in units; absent counts as 0.
    #[serde(default, rename = "cost_units")]
    pub units: f64,
}

impl IncomingRequest {
    /// Returns the shard that stores the object; `None` for a new object.
    #[must_use]
    pub fn shard(&self) -> Option<Shard> {
        if self.shard >= 0.0 {
            Some(Shard(self.shard as u64))
        } else {
            None
        }
    }
}
