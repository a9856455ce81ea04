//! dmClock: the order in which the requests of a shard are dispatched.
//!
//! - `tags`: the reservation, limit, share and nominal tags of a request, each on the virtual clock
//!   of a rate.
//! - `flow`: the queue of one volume, and rho and delta, the service by which the tags of its
//!   requests advance.
//! - `shard_queue`: the flows of a shard and its late requests.
//! - `shard_queues`: the queues of all shards.
//! - `phase` and `selection`: the phases in which the next request is selected.

mod flow;
mod phase;
mod selection;
mod shard_queue;
mod shard_queues;
mod tags;

pub use flow::Position;
pub use selection::{Admission, Selected, Selection};
pub use shard_queue::ShardQueue;
pub use shard_queues::ShardQueues;
