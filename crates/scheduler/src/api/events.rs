//! Events: what the caller reports to the scheduler.

use super::{
    ClassIndex, Micros, NodeId, ObjectKey, PlanIndex, RequestId, Shard, Units, VolumeId, Zone,
};

/// State of a node in the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointStatus {
    /// It accepts requests.
    InService,
    /// It completes its requests and accepts no new ones.
    Draining,
    /// It was removed from the list.
    Removed,
}

/// One entry of the endpoint list.
#[derive(Clone, Debug)]
pub struct Endpoint {
    /// The node.
    pub node: NodeId,
    /// Its zone.
    pub zone: Zone,
    /// The shard that it holds.
    pub shard: Shard,
    /// Its state.
    pub status: EndpointStatus,
    /// When its process last started, if known.
    pub started_at: Option<Micros>,
}

/// An update of the endpoint list, or the failure of a poll or watch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointListEvent {
    /// The list that the host cached before it started; it may be out of date.
    Cached,
    /// The complete list.
    Snapshot,
    /// The entries that changed.
    Delta,
    /// A poll of the list failed.
    PollFailed,
    /// The watch was closed, timed out, or has to be opened again.
    WatchLost,
}

/// A client request.
#[derive(Clone, Debug)]
pub struct Request {
    /// Its id, never used twice.
    pub id: RequestId,
    /// Its volume.
    pub volume: VolumeId,
    /// The volume's plan.
    pub plan: PlanIndex,
    /// Its class.
    pub class: ClassIndex,
    /// The object that it reads or writes, if it names one.
    pub key: Option<ObjectKey>,
    /// The shard that holds the object; `None` for a new object, which may be placed on any node.
    pub shard: Option<Shard>,
    /// Its size.
    pub units: Units,
    /// Number of hosts that receive the volume's requests.
    pub hosts: f64,
    /// When the client stops waiting.
    pub deadline: Micros,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The node served it.
    Served,
    /// The node responded with an error; it may have been executed.
    Error,
    /// The node had no capacity; it was not executed.
    Overloaded,
    /// No response in time; it may have been executed or may still be executing.
    TimedOut,
    /// No connection; it was not executed.
    ConnectFailed,
    /// The connection was lost; it may have been executed or may still be executing.
    Reset,
    /// Cancelled; it may have been executed or may still be executing.
    Cancelled,
    /// It was not sent to the node at all.
    NotDispatched,
}

/// The end of one attempt.
#[derive(Clone, Debug)]
pub struct CompletedAttempt {
    /// The request.
    pub request: RequestId,
    /// Number among the attempts of the request, from 0.
    pub number: u32,
    /// The node it went to.
    pub node: NodeId,
    /// How it ended.
    pub outcome: Outcome,
    /// Whether the request already has its final response.
    pub request_closed: bool,
    /// Time since its dispatch, in microseconds.
    pub elapsed: Micros,
    /// Service that the node gave the volume through other hosts since its last response; 0 if not
    /// reported.
    pub remote_units: Units,
    /// Usage report, if there is one: the volume's service at all nodes in a past period, as a
    /// fraction of its provisioned rate.
    pub utilization: Option<f64>,
}

/// An event at a host.
#[derive(Clone, Debug)]
pub enum Event {
    /// The endpoint list, changes to it, or a failure to fetch it.
    EndpointList(EndpointListEvent, Vec<Endpoint>),
    /// A client's request was received.
    RequestReceived(Request),
    /// The time of [`Action::SetTimer`](super::Action::SetTimer) has come.
    TimerFired,
    /// The response of an attempt has started and is being forwarded to the client.
    ResponseStarted(RequestId),
    /// The client has disconnected, or the request was closed.
    ClientDisconnected(RequestId),
    /// An attempt completed.
    AttemptCompleted(CompletedAttempt),
}
