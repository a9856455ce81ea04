//! Public interface of the scheduler: settings, events and actions. It contains no scheduling
//! rules.

mod actions;
mod events;
mod settings;
mod units;

pub use actions::*;
pub use events::*;
pub use settings::*;
pub use units::*;

/// Index of a class in [`Settings::classes`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct ClassIndex(pub usize);

/// Index of a plan in [`Settings::plans`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct PlanIndex(pub usize);

/// Defines a newtype for each kind of id, so that ids of different kinds cannot be mixed up.
macro_rules! ids {
    ($($(#[$doc:meta])* $name:ident),*) => {$(
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(pub u64);
    )*};
}

ids! {
    /// Id of a client request; never reused.
    RequestId,
    /// Id of a storage node. A node keeps its id when it restarts, as long as the endpoint list
    /// names it.
    NodeId,
    /// Id of a volume. Reservation, weight and limit are defined per volume.
    VolumeId,
    /// Key of the object that a request reads or writes.
    ObjectKey,
    /// Id of the part of the data that a node holds. A node that replaces another holds the same
    /// shard.
    Shard,
    /// Id of a zone of nodes.
    Zone
}

/// Size of a table whose keys clients choose.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TableSize {
    /// Number of entries.
    pub entries: usize,
    /// Number of entries beyond which entries that no request needs are evicted.
    pub limit: usize,
    /// Number of entries evicted since the start, beside those removed for their age.
    pub evicted: u64,
}

/// Sizes of the tables whose keys clients choose.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TableSizes {
    /// Volumes with recent requests.
    pub volumes: TableSize,
    /// Queues of shards.
    pub shards: TableSize,
    /// Flows: pairs of a volume and a shard with recent requests.
    pub flows: TableSize,
    /// Latency objectives that a repeat of a request would keep.
    pub objectives: TableSize,
}

/// Number of entries in the scheduler's state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StateSizes {
    /// Nodes in the endpoint list, and removed nodes that still have attempts in flight.
    pub nodes: usize,
    /// Volumes with recent requests.
    pub volumes: usize,
    /// Shards that are held by a node, have queued requests, or have flows. Other shards are
    /// removed by the next cleanup.
    pub shards: usize,
}
