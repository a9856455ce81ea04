//! What the scheduler remembers: plain records and containers.
//!
//! No decision is made here: nothing in this folder reads the settings or defines a constant of the policy,
//! so these files don't count as decision logic.

mod deadline_queue;
mod key_sequences;
mod latency_estimate;
mod nodes;
mod queued_request;
mod repeats;
mod requests;
mod retry_history;
mod shard_queue;
mod sliding_window;
mod token_bucket;
mod usage_meter;

pub use deadline_queue::DeadlineQueue;
pub use key_sequences::KeySequences;
pub use latency_estimate::LatencyEstimate;
pub use nodes::{Node, NodeTable};
pub use queued_request::{Phase, Position, QueuedRequest, Seconds, Tags};
pub use repeats::RepeatTracker;
pub use requests::{Attempt, PendingRequest, RequestTable};
pub use retry_history::RetryHistory;
pub use shard_queue::{Flow, ShardQueue, ShardQueues};
pub use sliding_window::SlidingWindow;
pub use token_bucket::TokenBucket;
pub use usage_meter::UsageMeter;
