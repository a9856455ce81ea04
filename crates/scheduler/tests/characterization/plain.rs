//! The driver's own plain types: deployments, inputs and decisions in bare numbers. Times are
//! microseconds of the simulated clock, sizes are units, ids are plain integers.

/// A point in time or a span of time, in microseconds.
pub type Time = i64;

/// One millisecond.
pub const MILLISECOND: Time = 1_000;
/// One second.
pub const SECOND: Time = 1_000_000;

/// Whether a request of a class may be executed twice.
#[derive(Clone, Copy)]
pub enum Repeat {
    /// It may.
    Safe,
    /// Duplicates are dropped within a scope, for a time after the first dispatch.
    WithKey(Scope, Time),
    /// It may not.
    Unsafe,
}

/// Nodes that recognize duplicates of each other's requests.
#[derive(Clone, Copy)]
pub enum Scope {
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
    /// Latency objective.
    pub objective: Time,
    /// Priority weight.
    pub priority: f64,
    /// Whether its requests may be executed twice.
    pub repeat: Repeat,
    /// Whether requests of one key run in order.
    pub ordered: bool,
}

/// A volume's plan; rates are in units a second.
#[derive(Clone, Default)]
pub struct Plan {
    /// Reserved rate.
    pub reservation: f64,
    /// Weight.
    pub weight: f64,
    /// Maximum rate.
    pub limit: f64,
    /// Capacity of the token bucket, in units.
    pub burst: f64,
    /// Provisioned rate.
    pub provisioned: f64,
}

/// Limit on retries in a window.
#[derive(Clone, Copy)]
pub struct Budget {
    /// Length of the window.
    pub window: Time,
    /// Retries always allowed.
    pub allowance: f64,
    /// Retries for each request.
    pub ratio: f64,
}

/// Capacity of nodes after their start.
#[derive(Clone, Copy)]
pub struct Warmup {
    /// Fraction of the capacity at the start.
    pub initial_capacity: f64,
    /// Time until the full capacity.
    pub duration: Time,
    /// Length of the window in which units are limited.
    pub window: Time,
    /// Burst within a window, as a multiple of the capacity.
    pub burst_factor: f64,
    /// Units in a window at the start.
    pub units: f64,
}

/// Settings of a deployment.
#[derive(Clone)]
pub struct Deployment {
    /// Classes by index.
    pub classes: Vec<Class>,
    /// Plans by index.
    pub plans: Vec<Plan>,
    /// Hosts that share the nodes.
    pub hosts: u32,
    /// Maximum number of attempts of a request.
    pub max_attempts: u32,
    /// Whether attempts in flight may be cancelled.
    pub cancellation_allowed: bool,
    /// Hosts that poll the discovery service; 0 where lists come without polls.
    pub discovery_clients: u32,
    /// Maximum time between polls; 0 for none.
    pub max_poll_interval: Time,
    /// Capacity of nodes that warm up.
    pub warmup: Warmup,
    /// Pause of a key after an attempt that may still be executing.
    pub quiesce_period: Time,
    /// Limit on retries.
    pub retry_budget: Option<Budget>,
    /// Mean size of a request.
    pub mean_units: f64,
    /// Largest size of a request.
    pub max_units: f64,
    /// Period of usage reports; 0 for none.
    pub usage_report_period: Time,
    /// Whether responses report units served through other hosts.
    pub reports_remote_units: bool,
    /// Value of units within the provisioned rate.
    pub provisioned_value: f64,
    /// Value of units beyond it.
    pub surplus_value: f64,
}

/// State of a node in the endpoint list.
#[derive(Clone, Copy, PartialEq)]
pub enum Status {
    /// It takes requests.
    InService,
    /// It takes no new requests.
    Draining,
    /// It is gone.
    Removed,
}

/// One entry of the endpoint list.
#[derive(Clone, Copy)]
pub struct Line {
    /// The node.
    pub node: u64,
    /// Its zone.
    pub zone: u64,
    /// Its shard.
    pub shard: u64,
    /// Its state.
    pub status: Status,
    /// When its process started, if known.
    pub started_at: Option<Time>,
}

/// Kind of an update of the endpoint list.
#[derive(Clone, Copy)]
pub enum ListKind {
    /// The list cached by the host.
    Cached,
    /// The complete list.
    Snapshot,
    /// Entries that changed.
    Delta,
    /// A poll failed.
    PollFailed,
    /// The watch was lost.
    WatchLost,
}

/// A request as a client sends it.
#[derive(Clone, Copy)]
pub struct Arrival {
    /// Its id.
    pub id: u64,
    /// Its volume.
    pub volume: u64,
    /// The volume's plan.
    pub plan: usize,
    /// Its class.
    pub class: usize,
    /// Its object.
    pub key: Option<u64>,
    /// The shard that holds the object.
    pub shard: Option<u64>,
    /// Its size.
    pub units: f64,
    /// Hosts that receive the volume's requests.
    pub hosts: f64,
    /// When the client stops waiting.
    pub deadline: Time,
}

/// How an attempt ends.
#[derive(Clone, Copy, PartialEq)]
pub enum Ending {
    /// Served.
    Served,
    /// Error response.
    Error,
    /// No capacity.
    Overloaded,
    /// No response in time.
    TimedOut,
    /// No connection.
    ConnectFailed,
    /// Connection lost.
    Reset,
    /// Cancelled.
    Cancelled,
    /// Not sent.
    NotDispatched,
}

/// The end of an attempt.
#[derive(Clone, Copy)]
pub struct Completion {
    /// The request.
    pub request: u64,
    /// Number of the attempt, from 0.
    pub number: u32,
    /// The node.
    pub node: u64,
    /// How it ended.
    pub ending: Ending,
    /// Whether the request has its final response.
    pub closed: bool,
    /// Time since the dispatch.
    pub elapsed: Time,
    /// Units served through other hosts.
    pub remote_units: f64,
    /// Usage report, as a fraction of the provisioned rate.
    pub utilization: Option<f64>,
}

/// What happens at the host.
#[derive(Clone)]
pub enum Input {
    /// An update of the endpoint list.
    List(ListKind, Vec<Line>),
    /// A client's request.
    Arrival(Arrival),
    /// The timer fires.
    Timer,
    /// The response of an attempt has started.
    ResponseStarted(u64),
    /// The client has disconnected.
    Disconnected(u64),
    /// An attempt ended.
    Completed(Completion),
}

/// What the scheduler decides.
#[derive(Clone, Copy)]
pub enum Decision {
    /// Start an attempt.
    Dispatch {
        /// The request.
        request: u64,
        /// The node.
        node: u64,
        /// When the attempt times out.
        deadline: Time,
    },
    /// Final response: rejected.
    Reject {
        /// The request.
        request: u64,
        /// Time after which the client should retry; 0 for none.
        retry_after: Time,
    },
    /// Final response: failed.
    Fail(u64),
    /// Cancel an attempt.
    Cancel {
        /// The request.
        request: u64,
        /// Number of the attempt.
        attempt: u32,
    },
    /// Open a watch of the endpoint list.
    OpenWatch,
    /// Fire a timer.
    SetTimer(Time),
}

/// Numbers of entries in the scheduler's state.
#[derive(Clone, Copy, Default, PartialEq)]
pub struct Sizes {
    /// Nodes.
    pub nodes: usize,
    /// Volumes.
    pub volumes: usize,
    /// Shards.
    pub shards: usize,
}
