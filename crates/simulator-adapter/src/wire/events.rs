//! Messages from the simulator, and the batches that contain them.

use super::{
    AttemptOutcomeMessage, BatchNumber, EndpointListKind, EndpointRow, IncomingRequest, InstanceId,
    NodeName, RequestName,
};
use deployment_settings::DeploymentSettings;
use serde::Deserialize;

/// The events of one time of the simulated clock. It is one line of input.
#[derive(Deserialize)]
pub struct EventBatch {
    /// The current time of the simulated clock, in milliseconds.
    #[serde(rename = "sim_time_ms")]
    pub now_ms: f64,
    /// Number of the batch; the reply has the same number.
    #[serde(default, rename = "frame")]
    pub number: BatchNumber,
    /// The events by instance.
    #[serde(default, rename = "parts")]
    pub instances: Vec<InstanceEvents>,
}

/// The events of one instance, in the order in which they occurred.
#[derive(Deserialize)]
pub struct InstanceEvents {
    /// The instance.
    #[serde(rename = "dispatcher_id")]
    pub instance: InstanceId,
    /// The events of the instance.
    #[serde(default, rename = "msgs")]
    pub events: Vec<EventMessage>,
}

/// An event of an instance.
#[derive(Deserialize)]
pub enum EventMessage {
    /// The instance starts. If it is already running, it restarts and loses its state.
    #[serde(rename = "ENLIST")]
    Start {
        /// Seed of the hashes that the scheduler uses in place of random numbers.
        #[serde(rename = "rng_seed")]
        seed: u64,
        /// Settings of the deployment.
        #[serde(rename = "info")]
        settings: Box<DeploymentSettings>,
    },
    /// The endpoint list, changes to it, or a failed poll.
    #[serde(rename = "TARGETS")]
    EndpointList {
        /// Whether the rows are the complete list or changes to it.
        kind: EndpointListKind,
        /// The rows of the list; empty if the poll failed.
        #[serde(default, rename = "rows_in")]
        endpoints: Vec<EndpointRow>,
    },
    /// A client sent a request.
    #[serde(rename = "INCOMING")]
    RequestReceived(IncomingRequest),
    /// The timer of the instance fired.
    #[serde(rename = "ELAPSED")]
    TimerFired {},
    /// The client has begun to receive the response to a request.
    #[serde(rename = "UNDER_WAY")]
    ResponseStarted {
        /// The request.
        #[serde(rename = "ref")]
        request: RequestName,
    },
    /// The instance stops and loses its state.
    #[serde(rename = "POWER_OFF")]
    Stop {},
    /// A message from another instance, which the adapter ignores.
    #[serde(rename = "FROM_PEER")]
    PeerMessage {},
    /// The client of a request disconnected.
    #[serde(rename = "VANISHED")]
    ClientDisconnected {
        /// The request.
        #[serde(rename = "ref")]
        request: RequestName,
    },
    /// A health check completed.
    #[serde(rename = "PING_RESULT")]
    HealthCheckCompleted(HealthCheckMessage),
    /// An attempt completed, whatever its outcome.
    #[serde(rename = "OUTCOME")]
    AttemptCompleted(AttemptOutcomeMessage),
}

/// The result of a health check. The adapter requests no health checks, so it decodes only the node
/// and ignores the other fields.
#[derive(Deserialize)]
pub struct HealthCheckMessage {
    /// The node that was checked.
    #[serde(rename = "server")]
    pub node: NodeName,
}
