//! The state of one storage node.

use io_scheduler::{EndpointStatus, Micros, NodeId, Shard, Units};

/// State of a storage node in the dispatcher; the console prints it.
#[derive(Clone, Debug)]
pub struct NodeState {
    /// Name in the endpoint list.
    pub name: String,
    /// Shard whose objects the node stores.
    pub shard: Shard,
    /// Status in the endpoint list.
    pub status: EndpointStatus,
    /// Units that the node has served for this gateway.
    pub served_units: Units,
    /// Attempts in flight at the node.
    pub attempts_in_flight: usize,
    /// The gateway must not start to write an attempt to the node at or after this time. `None`
    /// while the node is in service.
    write_deadline: Option<Micros>,
}

impl NodeState {
    /// Creates the state of a node that no endpoint list has named yet.
    pub(super) fn unlisted(name: &str) -> NodeState {
        NodeState {
            name: name.to_owned(),
            shard: Shard(0),
            status: EndpointStatus::Removed,
            served_units: Units::ZERO,
            attempts_in_flight: 0,
            write_deadline: None,
        }
    }

    /// Sets the status that the endpoint list states. `id` is the node's id, for the log line.
    pub(super) fn set_status(&mut self, status: EndpointStatus, id: NodeId) {
        if self.status == status {
            return;
        }
        log::debug!(
            "node {} ({}): {:?} -> {status:?}, {} attempts in flight",
            id.0,
            self.name,
            self.status,
            self.attempts_in_flight
        );
        self.status = status;
    }

    /// Returns whether the node can be dropped: it is removed and no attempt is in flight at it.
    pub(super) fn is_obsolete(&self) -> bool {
        self.status == EndpointStatus::Removed && self.attempts_in_flight == 0
    }

    /// Returns whether the gateway may start to write an attempt to the node at the time `now`.
    pub(super) fn may_write(&self, now: Micros) -> bool {
        self.write_deadline.is_none_or(|deadline| now < deadline)
    }

    /// Sets the write deadline if the node has just gone out of service, and clears it if the node
    /// is in service. A node that was already out of service keeps its earlier deadline.
    pub(super) fn update_write_deadline(&mut self, deadline: Micros) {
        match self.status {
            EndpointStatus::InService => self.write_deadline = None,
            EndpointStatus::Draining | EndpointStatus::Removed => {
                self.write_deadline.get_or_insert(deadline);
            }
        }
    }
}
