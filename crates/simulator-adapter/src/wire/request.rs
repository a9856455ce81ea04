//! A client's request as the simulator sends it.

use super::{ClassName, PlanName, RequestName};
use io_scheduler::Shard;
use serde::Deserialize;

/// A request from a client, as received by the gateway.
#[derive(Deserialize)]
pub struct IncomingRequest {
    /// Name of the request, by which later messages refer to it.
    #[serde(rename = "ref")]
    pub request: RequestName,
    /// The volume's plan.
    #[serde(rename = "qos_class")]
    pub plan: PlanName,
    /// Key of the object, if the request has one.
    #[serde(rename = "region")]
    pub object_key: Option<u64>,
    /// The class of the request.
    #[serde(rename = "lane")]
    pub class: ClassName,
    /// Number of the volume.
    #[serde(rename = "share_id")]
    pub volume: u64,
    /// Number of gateways that receive requests for the volume; absent counts as 0.
    #[serde(rename = "set_size")]
    pub hosts: Option<f64>,
    /// Point in time of the simulated clock at which the client stops waiting, in milliseconds.
    #[serde(rename = "due_ms")]
    pub deadline_ms: f64,
    /// Number of the shard that holds the object; negative for a new object. As for every number on
    /// the wire, an absent value counts as 0.
    #[serde(default)]
    pub shard: f64,
    /// Size in units.
    #[serde(default, rename = "cost_units")]
    pub units: f64,
}

impl IncomingRequest {
    /// The shard that holds the object; `None` for a new object.
    #[must_use]
    pub fn shard(&self) -> Option<Shard> {
        if self.shard >= 0.0 {
            Some(Shard(self.shard as u64))
        } else {
            None
        }
    }
}
