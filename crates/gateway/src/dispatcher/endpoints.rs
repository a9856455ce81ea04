//! The endpoint list: its changes, and queries on the nodes that it names.

use super::node_state::NodeState;
use super::state::Dispatcher;
use crate::endpoint::EndpointRecord;
use io_scheduler::{EndpointListEvent, Event, Micros, NodeId};

impl Dispatcher {
    /// The id of a node. A node that is not known yet is added with a new id. A name has the same
    /// id until the node is removed and its last attempt has ended.
    pub fn node_id_or_insert(&mut self, name: &str) -> NodeId {
        self.nodes.id_or_insert(name)
    }

    /// Applies an endpoint list or a delta, and reports it to the scheduler. `kind` may also be
    /// the failure of a poll or watch, without records.
    pub fn update_endpoints(
        &mut self,
        kind: EndpointListEvent,
        records: &[EndpointRecord],
        now: Micros,
    ) {
        let endpoints = self.nodes.apply(kind, records, now);
        self.events.push(Event::EndpointList(kind, endpoints));
    }

    /// Whether a node is listed, or removed with attempts in flight.
    #[must_use]
    pub fn knows_node(&self, node: NodeId) -> bool {
        self.nodes.contains(node)
    }

    /// The drain guard: whether an attempt may start to be written to a node at the time `now`.
    ///
    /// The scheduler dispatches nothing to a draining node, but the node may have started to drain
    /// while an attempt waited for its connection.
    #[must_use]
    pub fn may_write(&self, node: NodeId, now: Micros) -> bool {
        self.nodes.may_write(node, now)
    }

    /// Whether any node is in service.
    #[must_use]
    pub fn has_endpoint(&self) -> bool {
        self.nodes.has_in_service()
    }

    /// The state of all nodes, by id.
    pub fn nodes(&self) -> impl Iterator<Item = &NodeState> {
        self.nodes.iter()
    }
}
