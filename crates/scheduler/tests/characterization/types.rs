//! Types of the simulation: settings of a deployment, inputs and decisions of the scheduler.
//!
//! They mirror the types of the crate's API, so that the simulation does not depend on the API.
//! Times are microseconds of the simulated clock, sizes are units, and ids are integers.

/// A point in time or a duration, in microseconds.
pub type Micros = i64;

/// One millisecond.
pub const MILLISECOND: Micros = 1_000;
/// One second.
pub const SECOND: Micros = 1_000_000;

/// Whether a request may be executed more than once.
#[derive(Clone, Copy)]
pub enum Idempotency {
    /// The request can safely be executed again.
    Idempotent,
    /// The request carries an idempotency key: the nodes of the scope drop duplicates of an attempt
    /// for this time after its dispatch.
    WithKey(DedupScope, Micros),
    /// The request must not be executed twice.
    NonIdempotent,
}

/// Set of nodes that share a record of idempotency keys.
#[derive(Clone, Copy)]
pub enum DedupScope {
    /// Every node.
    All,
    /// The nodes of one zone.
    Zone,
    /// The nodes of one shard.
    Shard,
}

/// A class of requests.
#[derive(Clone)]
pub struct Class {
    /// Latency objective of its requests.
    pub latency_objective: Micros,
    /// Priority weight relative to other classes.
    pub priority_weight: f64,
    /// Whether its requests may be executed more than once.
    pub idempotency: Idempotency,
    /// Whether requests with the same key are executed one after another.
    pub ordered: bool,
}

/// A volume's plan. Rates are in units per second.
#[derive(Clone, Default)]
pub struct Plan {
    /// Reserved rate; 0 for none.
    pub reservation: f64,
    /// dmClock weight.
    pub weight: f64,
    /// Maximum rate; 0 for no limit.
    pub limit: f64,
    /// Capacity of the token bucket, in units.
    pub burst_capacity: f64,
    /// Rate that the volume is provisioned for.
    pub provisioned_rate: f64,
}

/// Limit on retries within a sliding window.
#[derive(Clone, Copy)]
pub struct RetryBudget {
    /// Length of the window.
    pub window: Micros,
    /// Number of retries that are always allowed.
    pub allowance: f64,
    /// Number of retries allowed per request received.
    pub ratio: f64,
}

/// How the capacity of a node grows after its process starts.
#[derive(Clone, Copy)]
pub struct SlowStart {
    /// Initial capacity, as a fraction of the full capacity.
    pub initial_capacity: f64,
    /// Time until the node has its full capacity.
    pub duration: Micros,
    /// Length of the window within which the units are limited.
    pub window: Micros,
    /// Factor by which the units dispatched in a window may exceed the units provisioned for it, at
    /// full capacity.
    pub burst_factor: f64,
    /// Units that a node can serve within a window when its process starts.
    pub initial_units_per_window: f64,
}

/// Settings of a deployment.
#[derive(Clone)]
pub struct Deployment {
    /// Classes by index.
    pub classes: Vec<Class>,
    /// Plans by index.
    pub plans: Vec<Plan>,
    /// Number of hosts that share the nodes.
    pub host_count: u32,
    /// Maximum number of attempts per request, the first included.
    pub max_attempts: u32,
    /// Whether attempts in flight may be cancelled.
    pub cancellation_allowed: bool,
    /// Number of hosts that poll the discovery service; 0 if endpoint lists arrive without polls.
    pub discovery_clients: u32,
    /// Maximum interval between two polls, which limits only their jitter; 0 for none.
    pub max_poll_interval: Micros,
    /// Slow start of nodes that are warming up.
    pub slow_start: SlowStart,
    /// Time for which the next ordered request of a key waits after an attempt that the node may
    /// still be executing.
    pub quiesce_period: Micros,
    /// Limit on retries; `None` for no limit.
    pub retry_budget: Option<RetryBudget>,
    /// Mean size of a request.
    pub mean_units: f64,
    /// Largest size of a request.
    pub max_units: f64,
    /// Period of the nodes' usage reports; 0 for none.
    pub usage_report_period: Micros,
    /// Whether responses report the units served through other hosts.
    pub reports_remote_units: bool,
    /// Value of units within the provisioned rate, relative to reserved units.
    pub provisioned_value: f64,
    /// Value of units beyond the provisioned rate, relative to reserved units.
    pub surplus_value: f64,
}

/// State of a node in the endpoint list.
#[derive(Clone, Copy, PartialEq)]
pub enum NodeStatus {
    /// The node accepts requests.
    InService,
    /// The node completes its requests and accepts no new ones.
    Draining,
    /// The node was removed from the list.
    Removed,
}

/// One entry of the endpoint list.
#[derive(Clone, Copy)]
pub struct EndpointEntry {
    /// The node.
    pub node: u64,
    /// Zone of the node.
    pub zone: u64,
    /// Shard that the node holds.
    pub shard: u64,
    /// State of the node.
    pub status: NodeStatus,
    /// Time at which the node's process started, if known.
    pub started_at: Option<Micros>,
}

/// Kind of an endpoint list update, or of a failure to get one.
#[derive(Clone, Copy)]
pub enum ListUpdateKind {
    /// The complete list that the host cached before it started.
    Cached,
    /// The complete list.
    Snapshot,
    /// The entries that changed.
    Delta,
    /// A poll of the list failed.
    PollFailed,
    /// The watch was closed or timed out.
    WatchLost,
}

/// A request as a client sends it.
#[derive(Clone, Copy)]
pub struct ClientRequest {
    /// Id, unique within a run.
    pub id: u64,
    /// Volume that the request belongs to.
    pub volume: u64,
    /// Index of the volume's plan.
    pub plan: usize,
    /// Index of the request's class.
    pub class: usize,
    /// Key of the object, if the request names one.
    pub key: Option<u64>,
    /// Shard that holds the object; `None` for a new object.
    pub shard: Option<u64>,
    /// Size in units.
    pub units: f64,
    /// Number of hosts that receive the volume's requests.
    pub host_count: f64,
    /// Time at which the client stops waiting.
    pub deadline: Micros,
}

/// How an attempt ends.
#[derive(Clone, Copy, PartialEq)]
pub enum AttemptOutcome {
    /// The node served the request.
    Served,
    /// The node responded with an error.
    Error,
    /// The node had no capacity.
    Overloaded,
    /// No response arrived in time.
    TimedOut,
    /// No connection could be established.
    ConnectFailed,
    /// The connection was lost.
    Reset,
    /// The attempt was cancelled.
    Cancelled,
    /// The host could not send the request.
    NotDispatched,
}

/// The end of an attempt.
#[derive(Clone, Copy)]
pub struct AttemptCompletion {
    /// The request.
    pub request: u64,
    /// Number of the attempt within the request, from 0.
    pub number: u32,
    /// Node that the attempt was sent to.
    pub node: u64,
    /// How the attempt ended.
    pub outcome: AttemptOutcome,
    /// Whether the request already has its final response.
    pub response_not_needed: bool,
    /// Time from the dispatch to the end of the attempt.
    pub elapsed: Micros,
    /// Units that the node served for the volume through other hosts.
    pub remote_units: f64,
    /// Usage report, if any: the volume's service as a fraction of its provisioned rate.
    pub utilization: Option<f64>,
}

/// An input of the scheduler.
#[derive(Clone)]
pub enum Input {
    /// An endpoint list update, or a failure to get one.
    EndpointList(ListUpdateKind, Vec<EndpointEntry>),
    /// A client's request was received.
    RequestReceived(ClientRequest),
    /// The timer fired.
    TimerFired,
    /// The response to the request with this id has started.
    ResponseStarted(u64),
    /// The client of the request with this id has disconnected.
    ClientDisconnected(u64),
    /// An attempt completed.
    AttemptCompleted(AttemptCompletion),
}

/// A decision of the scheduler.
#[derive(Clone, Copy)]
pub enum Decision {
    /// Start an attempt.
    Dispatch {
        /// The request.
        request: u64,
        /// Node that the attempt is sent to.
        node: u64,
        /// Time at which the attempt times out.
        times_out_at: Micros,
    },
    /// Send the final response that the request is rejected.
    Reject {
        /// The request.
        request: u64,
        /// Time after which the client should retry (Retry-After); 0 if none is given.
        retry_after: Micros,
    },
    /// Send the final response that the request with this id failed.
    Fail(u64),
    /// Cancel an attempt in flight.
    Cancel {
        /// The request.
        request: u64,
        /// Number of the attempt within the request, from 0.
        attempt: u32,
    },
    /// Open a watch of the endpoint list.
    OpenWatch,
    /// Fire the timer at this time.
    SetTimer(Micros),
}

/// Numbers of entries in the scheduler's state.
#[derive(Clone, Copy, Default, PartialEq)]
pub struct StateSizes {
    /// Number of nodes.
    pub nodes: usize,
    /// Number of volumes.
    pub volumes: usize,
    /// Number of shards.
    pub shards: usize,
}
