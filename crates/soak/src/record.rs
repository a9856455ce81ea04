//! What clients, storage nodes, discovery and the supervisor observe during a run.

use serde::Serialize;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

/// The number of a gateway within a run, from 0.
pub type GatewayIndex = usize;

/// Status of a node in the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub enum NodeStatus {
    /// The node accepts requests.
    InService,
    /// The node completes its requests and accepts no new ones.
    Draining,
    /// The node is no longer listed.
    Removed,
}

/// A client's request.
#[derive(Clone, Debug, Serialize)]
pub struct SentRequest {
    /// The client's connection; unique within a run.
    pub connection: u64,
    /// The id of the request; unique within a run.
    pub request: String,
    /// Whether the request may be executed again.
    pub is_idempotent: bool,
    /// How long the client waits for the reply.
    pub timeout: Duration,
}

/// What a client received as the reply to a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub enum ReplyKind {
    /// The value that a node made for this request.
    Served,
    /// A value that no node made for this request.
    WrongValue,
    /// The request was rejected and may be repeated.
    Rejected,
    /// The request failed, or the reply is an error.
    Failed,
}

/// An attempt of a request, as a node received it.
#[derive(Clone, Debug, Serialize)]
pub struct ReceivedAttempt {
    /// The name of the node.
    pub node: String,
    /// The id of the request.
    pub request: String,
    /// When the first byte arrived.
    pub first_byte_at: Duration,
    /// The time that the gateway stated to wait for the response.
    pub stated_timeout: Duration,
    /// Whether the node executes the request; it does not if it rejects it.
    pub is_executed: bool,
}

/// One observation. The time of a record is that of its last byte, where bytes were exchanged.
#[derive(Clone, Debug, Serialize)]
pub enum Event {
    /// A client has written the last byte of a request.
    RequestSent(SentRequest),
    /// A client has received the reply to a request.
    ReplyReceived {
        /// The id of the request.
        request: String,
        /// What was received.
        reply: ReplyKind,
    },
    /// The gateway has ended a client's connection.
    ConnectionEnded {
        /// The connection.
        connection: u64,
    },
    /// A client has closed its connection.
    ClientClosed {
        /// The connection.
        connection: u64,
    },
    /// A node has received an attempt.
    AttemptReceived(ReceivedAttempt),
    /// Discovery has a new status of a node.
    ListChanged {
        /// The name of the node.
        node: String,
        /// Its new status.
        status: NodeStatus,
    },
    /// Discovery has written the status of a node to the gateway.
    Notified {
        /// The name of the node.
        node: String,
        /// Its status.
        status: NodeStatus,
        /// When the write began. The gateway may have read the status before the write returned.
        write_began_at: Duration,
    },
    /// Discovery cannot be reached from now on.
    DiscoveryDown,
    /// Discovery can be reached again.
    DiscoveryUp,
    /// The process was started.
    Started {
        /// When the start began. The process may have run before the start returned.
        spawn_began_at: Duration,
    },
    /// The process has replied to a client for the first time.
    Ready,
    /// SIGTERM was sent.
    ShutdownRequested,
    /// SIGKILL was sent.
    Killed,
    /// The process has exited without a SIGKILL.
    Exited {
        /// Whether its exit status was 0.
        success: bool,
    },
}

/// An event with its time since the start of the run and the gateway that it concerns; `None` for
/// events that concern all gateways.
#[derive(Clone, Debug, Serialize)]
pub struct Record {
    /// Time since the start of the run.
    pub at: Duration,
    /// The gateway.
    pub gateway: Option<GatewayIndex>,
    /// What happened.
    pub event: Event,
}

/// The records of a run, shared by the threads of the rig.
#[derive(Clone)]
pub struct Recorder {
    /// Start of the run.
    started_at: Instant,
    /// The records in the order in which they were added.
    records: Arc<Mutex<Vec<Record>>>,
}

impl Default for Recorder {
    fn default() -> Recorder {
        Recorder {
            started_at: Instant::now(),
            records: Arc::default(),
        }
    }
}

impl Recorder {
    /// Returns the time since the start of the run.
    #[must_use]
    pub fn now(&self) -> Duration {
        self.started_at.elapsed()
    }

    /// Adds an event that occurs now.
    pub fn add(&self, gateway: GatewayIndex, event: Event) {
        self.add_at(self.now(), Some(gateway), event);
    }

    /// Adds an event with its time.
    pub fn add_at(&self, at: Duration, gateway: Option<GatewayIndex>, event: Event) {
        let mut records = self.records.lock().unwrap_or_else(PoisonError::into_inner);
        records.push(Record { at, gateway, event });
    }

    /// Takes all records, ordered by time.
    #[must_use]
    pub fn take(&self) -> Vec<Record> {
        let mut guard = self.records.lock().unwrap_or_else(PoisonError::into_inner);
        let mut records = std::mem::take(&mut *guard);
        records.sort_by_key(|record| record.at);
        records
    }
}
