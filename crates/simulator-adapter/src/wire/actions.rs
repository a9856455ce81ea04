//! Messages to the simulator. A field in `_ms` is in milliseconds: a point in time of the simulated
//! clock, or a duration, as its comment says.

use super::{BatchNumber, InstanceId, NodeName, RequestName, TimerName};
use serde::Serialize;

/// One line: the reply to one batch of events.
#[derive(Serialize)]
pub struct ActionBatch {
    /// Number of the batch that is answered.
    #[serde(rename = "frame")]
    pub number: BatchNumber,
    /// The actions of each instance that has any.
    #[serde(rename = "parts")]
    pub instances: Vec<InstanceActions>,
}

/// The actions of one instance, in order.
#[derive(Serialize)]
pub struct InstanceActions {
    /// The instance.
    #[serde(rename = "dispatcher_id")]
    pub instance: InstanceId,
    /// Its actions.
    #[serde(rename = "output")]
    pub actions: Vec<ActionMessage>,
}

/// One action of an instance.
#[derive(Serialize)]
pub enum ActionMessage {
    /// Dispatch an attempt.
    #[serde(rename = "FORWARD")]
    Dispatch {
        /// The request.
        #[serde(rename = "ref")]
        request: RequestName,
        /// The node that it goes to.
        #[serde(rename = "server")]
        node: NodeName,
        /// Point in time at which the attempt times out.
        #[serde(rename = "try_until_ms")]
        deadline_ms: f64,
    },
    /// Final response: rejected; the client may safely retry.
    #[serde(rename = "SHED")]
    Reject {
        /// The request.
        #[serde(rename = "ref")]
        request: RequestName,
        /// Duration for which the client should wait before it retries (Retry-After); 0 for none
        /// given.
        retry_after_ms: f64,
    },
    /// Final response: failed; the request may have been executed.
    #[serde(rename = "ABORT")]
    Fail {
        /// The request.
        #[serde(rename = "ref")]
        request: RequestName,
    },
    /// Cancel an attempt.
    #[serde(rename = "DROP_ATTEMPT")]
    Cancel {
        /// The request.
        #[serde(rename = "ref")]
        request: RequestName,
        /// Number among the attempts of the request, from 0.
        #[serde(rename = "go")]
        attempt: u32,
    },
    /// Watch the endpoint list.
    #[serde(rename = "OBSERVE")]
    OpenWatch {
        /// Always true: the adapter never closes a watch.
        #[serde(rename = "on")]
        open: bool,
    },
    /// Set a timer.
    #[serde(rename = "DEFER")]
    SetTimer {
        /// The timer.
        #[serde(rename = "ref")]
        timer: TimerName,
        /// Duration until it fires.
        #[serde(rename = "wait_ms")]
        delay_ms: f64,
    },
}
