//! Messages to the simulator. Times are milliseconds of the simulated clock, durations are milliseconds.

use serde::Serialize;

/// One line: the reply to one batch of events.
#[derive(Serialize)]
pub struct ActionBatch {
    /// Number of the batch that is answered.
    pub frame: u64,
    /// The actions of each instance that has any.
    #[serde(rename = "parts")]
    pub instances: Vec<InstanceActions>,
}

/// The actions of one instance, in order.
#[derive(Serialize)]
pub struct InstanceActions {
    /// Id of the instance.
    #[serde(rename = "dispatcher_id")]
    pub instance: u64,
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
        /// Name of the request.
        #[serde(rename = "ref")]
        request: String,
        /// Name of the node.
        #[serde(rename = "server")]
        node: String,
        /// When the attempt times out.
        #[serde(rename = "try_until_ms")]
        deadline_ms: f64,
    },
    /// Reject a request.
    #[serde(rename = "SHED")]
    Reject {
        /// Name of the request.
        #[serde(rename = "ref")]
        request: String,
        /// For how long the client should wait before it retries; 0 for no advice.
        retry_after_ms: f64,
    },
    /// Fail a request.
    #[serde(rename = "ABORT")]
    Fail {
        /// Name of the request.
        #[serde(rename = "ref")]
        request: String,
    },
    /// Cancel an attempt.
    #[serde(rename = "DROP_ATTEMPT")]
    Cancel {
        /// Name of the request.
        #[serde(rename = "ref")]
        request: String,
        /// Number of the attempt, from 0.
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
    /// Set a timer; it replaces the one of the same name.
    #[serde(rename = "DEFER")]
    SetTimer {
        /// Name of the timer.
        #[serde(rename = "ref")]
        timer: String,
        /// Time until it fires.
        #[serde(rename = "wait_ms")]
        delay_ms: f64,
    },
}
