//! Batches of messages from the simulator.

use super::{
    AttemptOutcomeMessage, BatchNumber, EndpointListKind, EndpointRow, IncomingRequest, InstanceId,
    NodeName, RequestName,
};
use deployment_settings::DeploymentSettings;
use serde::Deserialize;

/// One line: what happened at one point in time.
#[derive(Deserialize)]
pub struct EventBatch {
    /// The current time of the simulated clock, in milliseconds.
    #[serde(rename = "sim_time_ms")]
    pub now_ms: f64,
    /// Number of the batch; the reply repeats it.
    #[serde(default, rename = "frame")]
    pub number: BatchNumber,
    /// The events of each instance.
    #[serde(default, rename = "parts")]
    pub instances: Vec<InstanceEvents>,
}

/// The events of one instance, in order.
#[derive(Deserialize)]
pub struct InstanceEvents {
    /// The instance.
    #[serde(rename = "dispatcher_id")]
    pub instance: InstanceId,
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
    /// The endpoint list, changes to it, or a failure to fetch it.
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
    /// The timer of the instance fired.
    #[serde(rename = "ELAPSED")]
    TimerFired {},
    /// The response to a request has begun: from now on the client receives it.
    #[serde(rename = "UNDER_WAY")]
    ResponseStarted {
        /// The request.
        #[serde(rename = "ref")]
        request: RequestName,
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
        /// The request.
        #[serde(rename = "ref")]
        request: RequestName,
    },
    /// A health check ended.
    #[serde(rename = "PING_RESULT")]
    HealthCheckCompleted(HealthCheckMessage),
    /// An attempt ended.
    #[serde(rename = "OUTCOME")]
    AttemptCompleted(AttemptOutcomeMessage),
}

/// The end of a health check. The adapter requests none; other fields of the message are ignored.
#[derive(Deserialize)]
pub struct HealthCheckMessage {
    /// The node.
    #[serde(rename = "server")]
    pub node: NodeName,
}
