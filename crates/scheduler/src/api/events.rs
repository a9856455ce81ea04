//! Events that the caller reports to the scheduler.

use super::{
    ClassIndex, Micros, NodeId, ObjectKey, PlanIndex, RequestId, Shard, Units, VolumeId, Zone,
};

/// State of a node in the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointStatus {
    /// The node accepts requests.
    InService,
    /// The node completes its requests and accepts no new ones.
    Draining,
    /// The node was removed from the list.
    Removed,
}

/// One entry of the endpoint list.
#[derive(Clone, Debug)]
pub struct Endpoint {
    /// The node.
    pub node: NodeId,
    /// Zone of the node.
    pub zone: Zone,
    /// Shard that the node holds.
    pub shard: Shard,
    /// State of the node.
    pub status: EndpointStatus,
    /// Time at which the node's process last started, if known.
    pub started_at: Option<Micros>,
}

/// An update of the endpoint list, or the failure of a poll or watch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointListEvent {
    /// The list that the host cached before it started, which may be out of date.
    Cached,
    /// As [`EndpointListEvent::Cached`], for a host that polls discovery: the list is not used, and
    /// no clients are accepted, until an update arrives or a poll fails
    /// (`endpoints::list_confirmation`).
    Unconfirmed,
    /// The complete list.
    Snapshot,
    /// The entries that changed.
    Delta,
    /// A poll of the list failed (`endpoints::polling`): no update was received on its watch.
    PollFailed,
    /// The watch was closed or timed out after an update, or must be reopened.
    WatchLost,
}

/// A client request.
#[derive(Clone, Debug)]
pub struct Request {
    /// Id of the request; never reused.
    pub id: RequestId,
    /// Volume that the request belongs to.
    pub volume: VolumeId,
    /// Plan of the volume.
    pub plan: PlanIndex,
    /// Class of the request.
    pub class: ClassIndex,
    /// Object that the request reads or writes, if it names one.
    pub key: Option<ObjectKey>,
    /// Shard that holds the object. `None` for a new object, which may be placed on any node.
    pub shard: Option<Shard>,
    /// Size of the request.
    pub units: Units,
    /// Number of hosts that receive the volume's requests, as stated by the client. It may be
    /// fractional; a number below 1 counts as 1.
    pub host_count: f64,
    /// Time at which the client stops waiting.
    pub deadline: Micros,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The node served the request.
    Served,
    /// The node responded with an error. The request may have been executed.
    Error,
    /// The node had no capacity. The request was not executed.
    Overloaded,
    /// No response arrived in time. The request may have been executed or may still be executing.
    TimedOut,
    /// No connection could be established. The request was not executed.
    ConnectFailed,
    /// The connection was lost. The request may have been executed or may still be executing.
    Reset,
    /// The attempt was cancelled. The request may have been executed or may still be executing.
    Cancelled,
    /// The caller did not send the request to the node, because it could not or because the attempt
    /// was cancelled first. The request was not executed.
    NotDispatched,
}

impl Outcome {
    /// Returns whether the node may have executed the request, or may still be executing it.
    #[must_use]
    pub fn may_have_executed(self) -> bool {
        match self {
            Outcome::Served
            | Outcome::Error
            | Outcome::TimedOut
            | Outcome::Reset
            | Outcome::Cancelled => true,
            Outcome::Overloaded | Outcome::ConnectFailed | Outcome::NotDispatched => false,
        }
    }
}

/// The end of one attempt.
#[derive(Clone, Debug)]
pub struct CompletedAttempt {
    /// The request.
    pub request: RequestId,
    /// Number of the attempt within the request, from 0.
    pub number: u32,
    /// Node that the attempt was sent to.
    pub node: NodeId,
    /// How the attempt ended.
    pub outcome: Outcome,
    /// Whether the request no longer needs a response: it has its final response, or its client has
    /// disconnected.
    pub response_not_needed: bool,
    /// Time since the dispatch, in microseconds.
    pub elapsed: Micros,
    /// Units that the node served for requests of the volume from other hosts since the node's
    /// previous response to this host (`volume::usage`); 0 if the node does not report them.
    pub remote_units: Units,
    /// Usage report, if the response carries one: the volume's service at all nodes in a past
    /// period, as a fraction of its provisioned rate.
    pub utilization: Option<f64>,
}

/// An event at a host.
#[derive(Clone, Debug)]
pub enum Event {
    /// The endpoint list, changes to it, or a failure to fetch it.
    EndpointList(EndpointListEvent, Vec<Endpoint>),
    /// A client's request was received.
    RequestReceived(Request),
    /// The timer requested by [`Action::SetTimer`](super::Action::SetTimer) fired.
    TimerFired,
    /// The response to an attempt has started and is being forwarded to the client.
    ResponseStarted(RequestId),
    /// No further response is needed: the client has disconnected, or the caller has already
    /// responded.
    ResponseNotNeeded(RequestId),
    /// The host was asked to shut down and will be killed a stated time later
    /// (`request::shutdown`). Only the first such event has an effect.
    ShutdownRequested,
    /// An attempt completed.
    AttemptCompleted(CompletedAttempt),
}
