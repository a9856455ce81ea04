//! The interface of the decision module: settings, events and actions. No decision is made here.

mod actions;
mod events;
mod settings;
mod units;

pub use actions::*;
pub use events::*;
pub use settings::*;
pub use units::*;

/// A class, by its index in [`Settings::classes`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct ClassIndex(pub usize);

/// A plan of volumes, by its index in [`Settings::plans`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct PlanIndex(pub usize);

/// Defines the types of ids: numbers that cannot be mistaken for each other.
macro_rules! ids {
    ($($(#[$doc:meta])* $name:ident),*) => {$(
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(pub u64);
    )*};
}

ids! {
    /// A client request; an id is never used twice.
    RequestId,
    /// A storage node; it keeps its id when it restarts, as long as the endpoint list names it.
    NodeId,
    /// A volume, to which reservation, weight and limit belong.
    VolumeId,
    /// The object that a request reads or writes.
    ObjectKey,
    /// The part of the data that a node holds; a node that replaces it holds the same shard.
    Shard,
    /// A zone of nodes.
    Zone
}

/// Number of entries in a scheduler's state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StateSizes {
    /// Nodes in the endpoint list, and removed nodes with attempts still in flight.
    pub nodes: usize,
    /// Volumes with recent requests.
    pub volumes: usize,
    /// Shards that a node holds, or that have queued requests or remembered flows; others go at the
    /// next cleanup.
    pub shards: usize,
}
