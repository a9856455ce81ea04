//! Applies endpoint lists, and answers queries about the nodes in them.

use super::node_state::NodeState;
use super::state::Dispatcher;
use crate::endpoint::EndpointRecord;
use io_scheduler::{EndpointListEvent, Event, Micros, NodeId};

impl Dispatcher {
    /// Returns the id of the node with this name. An unknown node is added with a new id. A name
    /// keeps its id until the node is removed and its last attempt has ended.
    pub fn node_id_or_insert(&mut self, name: &str) -> NodeId {
        self.nodes.id_or_insert(name)
    }

    /// Applies a snapshot or a delta of the endpoint list, or the failure of a poll or a watch, and
    /// reports it to the scheduler as `event`. `records` is empty for a failure.
    pub fn update_endpoints(
        &mut self,
        event: EndpointListEvent,
        records: &[EndpointRecord],
        now: Micros,
    ) {
        let endpoints = self.nodes.apply(event, records, now);
        self.events.push(Event::EndpointList(event, endpoints));
    }

    /// Returns whether a node is listed, or removed but with attempts in flight.
    #[must_use]
    pub fn contains_node(&self, node: NodeId) -> bool {
        self.nodes.contains(node)
    }

    /// Returns whether the gateway may start to write an attempt to a node at the time `now`, that
    /// is, whether the write deadline of the node has not passed.
    ///
    /// The scheduler dispatches nothing to a draining node, but a node may start to drain while an
    /// attempt waits for its connection.
    #[must_use]
    pub fn may_write(&self, node: NodeId, now: Micros) -> bool {
        self.nodes.may_write(node, now)
    }

    /// Returns whether any node is in service.
    #[must_use]
    pub fn has_node_in_service(&self) -> bool {
        self.nodes.has_in_service()
    }

    /// Returns the states of all nodes, ordered by id.
    pub fn nodes(&self) -> impl Iterator<Item = &NodeState> {
        self.nodes.iter()
    }
}
