//! Messages to the simulator. A field whose name ends in `_ms` is in milliseconds. Its comment says
//! whether it is a time of the simulated clock or a duration.

use super::{BatchNumber, InstanceId, NodeName, RequestName, TimerName};
use serde::Serialize;

/// The reply to a batch of events. It is one line of output.
#[derive(Serialize)]
pub struct ActionBatch {
    /// Number of the batch that this replies to.
    #[serde(rename = "frame")]
    pub number: BatchNumber,
    /// The actions by instance. Instances without actions are left out.
    #[serde(rename = "parts")]
    pub instances: Vec<InstanceActions>,
}

/// The actions of one instance, in the order in which the scheduler issued them.
#[derive(Serialize)]
pub struct InstanceActions {
    /// The instance.
    #[serde(rename = "dispatcher_id")]
    pub instance: InstanceId,
    /// The actions of the instance.
    #[serde(rename = "output")]
    pub actions: Vec<ActionMessage>,
}

/// An action of an instance.
#[derive(Serialize)]
pub enum ActionMessage {
    /// Dispatch an attempt to a node.
    #[serde(rename = "FORWARD")]
    Dispatch {
        /// The request.
        #[serde(rename = "ref")]
        request: RequestName,
        /// The node that the attempt is dispatched to.
        #[serde(rename = "server")]
        node: NodeName,
        /// Time at which the attempt times out.
        #[serde(rename = "try_until_ms")]
        times_out_at_ms: f64,
    },
    /// Reject the request: send the client its final response. The client may safely retry.
    #[serde(rename = "SHED")]
    Reject {
        /// The request.
        #[serde(rename = "ref")]
        request: RequestName,
        /// Retry-After: duration for which the client should wait before it retries; 0 if the
        /// response does not state one.
        retry_after_ms: f64,
    },
    /// Fail the request: send the client its final response. The request may have been executed.
    #[serde(rename = "ABORT")]
    Fail {
        /// The request.
        #[serde(rename = "ref")]
        request: RequestName,
    },
    /// Cancel an attempt in flight.
    #[serde(rename = "DROP_ATTEMPT")]
    Cancel {
        /// The request.
        #[serde(rename = "ref")]
        request: RequestName,
        /// Number of the attempt. The first attempt of a request has number 0.
        #[serde(rename = "go")]
        attempt: u32,
    },
    /// Open a watch on the endpoint list.
    #[serde(rename = "OBSERVE")]
    OpenWatch {
        /// Always true: the adapter never closes a watch.
        #[serde(rename = "on")]
        open: bool,
    },
    /// Set the timer of the instance.
    #[serde(rename = "DEFER")]
    SetTimer {
        /// The timer.
        #[serde(rename = "ref")]
        timer: TimerName,
        /// Duration until the timer fires.
        #[serde(rename = "wait_ms")]
        delay_ms: f64,
    },
}
