//! Messages from the simulator. Times are milliseconds of the simulated clock, durations are milliseconds.

use super::StatusCode;
use deployment_settings::DeploymentSettings;
use serde::Deserialize;

/// One line: what happened at one point in time.
#[derive(Deserialize)]
pub struct EventBatch {
    /// The current time.
    #[serde(rename = "sim_time_ms")]
    pub now_ms: f64,
    /// Number of the batch; the reply repeats it.
    #[serde(default)]
    pub frame: u64,
    /// The events of each instance.
    #[serde(default, rename = "parts")]
    pub instances: Vec<InstanceEvents>,
}

/// The events of one instance, in order.
#[derive(Deserialize)]
pub struct InstanceEvents {
    /// Id of the instance.
    #[serde(rename = "dispatcher_id")]
    pub instance: u64,
    /// Its events.
    #[serde(default, rename = "msgs")]
    pub events: Vec<EventMessage>,
}

/// One event of an instance.
#[derive(Deserialize)]
pub enum EventMessage {
    /// The instance starts, or starts anew and loses its state.
    #[serde(rename = "ENLIST")]
    Start {
        /// Seed of its random numbers.
        #[serde(rename = "rng_seed")]
        seed: u64,
        /// Settings of the deployment.
        #[serde(rename = "info")]
        settings: Box<DeploymentSettings>,
    },
    /// An event of the endpoint list.
    #[serde(rename = "TARGETS")]
    EndpointList {
        /// What the rows are.
        kind: EndpointListKind,
        /// The rows.
        #[serde(default, rename = "rows_in")]
        endpoints: Vec<EndpointRow>,
    },
    /// A client sent a request.
    #[serde(rename = "INCOMING")]
    RequestReceived(IncomingRequest),
    /// A timer fired.
    #[serde(rename = "ELAPSED")]
    TimerFired {},
    /// The response to a request has begun: from now on the client receives it.
    #[serde(rename = "UNDER_WAY")]
    ResponseStarted {
        /// Name of the request.
        #[serde(rename = "ref")]
        request: String,
    },
    /// The instance stops and loses its state.
    #[serde(rename = "POWER_OFF")]
    Stop {},
    /// A message from another instance; it is ignored.
    #[serde(rename = "FROM_PEER")]
    PeerMessage {},
    /// The client of a request disconnected.
    #[serde(rename = "VANISHED")]
    ClientDisconnected {
        /// Name of the request.
        #[serde(rename = "ref")]
        request: String,
    },
    /// A health check ended.
    #[serde(rename = "PING_RESULT")]
    HealthCheckCompleted(HealthCheckMessage),
    /// An attempt ended.
    #[serde(rename = "OUTCOME")]
    AttemptCompleted(AttemptOutcomeMessage),
}

/// What the rows of an endpoint list event are.
#[derive(Clone, Copy, Deserialize)]
pub enum EndpointListKind {
    /// The list that the gateway cached before it started.
    #[serde(rename = "SAVED")]
    Cached,
    /// The complete list.
    #[serde(rename = "FULL")]
    Snapshot,
    /// Changed rows only.
    #[serde(rename = "INCREMENTAL")]
    Delta,
    /// The poll failed; there are no rows.
    #[serde(rename = "FAILED")]
    PollFailed,
}

/// One row of an endpoint list: a storage node.
#[derive(Deserialize)]
pub struct EndpointRow {
    /// Name of the node's zone.
    #[serde(default, rename = "az")]
    pub zone: String,
    /// Name of the node.
    #[serde(rename = "server")]
    pub node: String,
    /// The shard that it stores.
    #[serde(default, rename = "unit_group")]
    pub shard: u64,
    /// Whether it takes requests.
    pub condition: EndpointCondition,
    /// When it last started; absent or 0 if that is not known.
    #[serde(rename = "online_since_ms")]
    pub started_at_ms: Option<f64>,
}

/// Condition of a storage node.
#[derive(Clone, Copy, Deserialize)]
pub enum EndpointCondition {
    /// It serves requests.
    #[serde(rename = "SERVING")]
    InService,
    /// It completes its requests and takes no new ones.
    #[serde(rename = "DRAINING")]
    Draining,
    /// It was removed.
    #[serde(rename = "DELETED")]
    Removed,
}

/// A request from a client, as received by the gateway.
#[derive(Deserialize)]
pub struct IncomingRequest {
    /// Name of the request; further messages refer to it.
    #[serde(rename = "ref")]
    pub request: String,
    /// Name of the volume's plan.
    #[serde(rename = "qos_class")]
    pub plan: String,
    /// Key of the object, if the request has one.
    #[serde(rename = "region")]
    pub object_key: Option<u64>,
    /// Name of the class of request.
    #[serde(rename = "lane")]
    pub class: String,
    /// Id of the volume.
    #[serde(rename = "share_id")]
    pub volume: u64,
    /// Number of gateways that receive requests for the volume.
    #[serde(rename = "set_size")]
    pub hosts: Option<f64>,
    /// When the client gives up.
    #[serde(rename = "due_ms")]
    pub deadline_ms: f64,
    /// The shard that stores the object; negative for a new object. As for every number on the wire, an absent
    /// value counts as 0.
    #[serde(default)]
    pub shard: f64,
    /// Size in units.
    #[serde(default, rename = "cost_units")]
    pub units: f64,
}

/// The end of a health check. The adapter requests none; other fields of the message are ignored.
#[derive(Deserialize)]
pub struct HealthCheckMessage {
    /// Name of the node.
    #[serde(rename = "server")]
    pub node: String,
}

/// The end of an attempt.
#[derive(Deserialize)]
pub struct AttemptOutcomeMessage {
    /// Name of the request.
    #[serde(rename = "ref")]
    pub request: String,
    /// How the attempt ended.
    pub status: StatusCode,
    /// Whether the request has its final response.
    #[serde(default, rename = "complete")]
    pub request_closed: bool,
    /// Name of the node.
    #[serde(rename = "server")]
    pub node: String,
    /// Time since the dispatch.
    #[serde(default, rename = "time_taken_ms")]
    pub elapsed_ms: f64,
    /// Units that the node served for the volume through other gateways since its last response.
    #[serde(default, rename = "delta")]
    pub remote_units: f64,
    /// Number of the attempt, from 0.
    #[serde(default, rename = "go")]
    pub attempt: u32,
    /// Usage report: 1 plus the percentage of the provisioned rate that the volume used; below 1 for none.
    #[serde(default, rename = "used")]
    pub usage: f64,
}

impl AttemptOutcomeMessage {
    /// Fraction of the provisioned rate that the volume used, if the message reports it.
    #[must_use]
    pub fn utilization(&self) -> Option<f64> {
        const REPORTED: f64 = 1.0;
        const PERCENT: f64 = 100.0;
        if self.usage >= REPORTED {
            Some((self.usage - REPORTED) / PERCENT)
        } else {
            None
        }
    }
}
