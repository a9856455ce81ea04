//! Commands from the dispatcher to the event loop.

use crate::storage_request::{AttemptId, AttemptLimits, ReplySlot, Response, StorageRequest};
use io_scheduler::NodeId;
use std::sync::Arc;

/// A command for the event loop, which runs commands in the order in which they were issued.
#[derive(Debug)]
pub enum Command {
    /// Forward a request to a node.
    StartAttempt {
        /// Id of the attempt, with which its result is reported.
        attempt: AttemptId,
        /// The node that the request is forwarded to.
        node: NodeId,
        /// The times that limit the attempt.
        limits: AttemptLimits,
        /// The request to forward.
        request: Arc<StorageRequest>,
    },
    /// Stop an attempt whose result is no longer awaited.
    AbandonAttempt(AttemptId),
    /// Send a request's final response to its client.
    Respond {
        /// The slot on the client connection that receives the response.
        reply_slot: ReplySlot,
        /// The final response.
        response: Response,
    },
    /// Accept clients from now on.
    AcceptClients,
    /// Close all client connections after their last reply.
    CloseClients,
    /// Open a watch on the endpoint list.
    OpenWatch,
}
