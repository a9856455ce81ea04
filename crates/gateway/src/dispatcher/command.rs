//! The commands that the dispatcher gives to the event loop.

use crate::storage_request::{AttemptId, ReplySlot, Response, StorageRequest};
use io_scheduler::{Micros, NodeId};
use std::sync::Arc;

/// A command for the event loop. Commands are carried out in the order in which they are given.
#[derive(Debug)]
pub enum Command {
    /// Forward a request to a node.
    StartAttempt {
        /// Id by which the result of the attempt is reported.
        attempt: AttemptId,
        /// The node to forward to.
        node: NodeId,
        /// When the attempt times out.
        times_out_at: Micros,
        /// The request to forward.
        request: Arc<StorageRequest>,
    },
    /// Stop an attempt: its result is no longer awaited.
    AbandonAttempt(AttemptId),
    /// Send a request's final response to its client.
    Respond {
        /// Where the response goes.
        reply_slot: ReplySlot,
        /// The final response.
        response: Response,
    },
    /// Open a watch on the endpoint list.
    OpenWatch,
}
