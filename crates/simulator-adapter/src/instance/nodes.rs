//! Ids of storage nodes.

use crate::wire::NodeName;
use io_scheduler::NodeId;
use std::collections::HashMap;

/// Maps the names of nodes to ids and back. Ids count from 0 in the order in which the names first
/// appear, in any message.
#[derive(Default)]
pub struct NodeTable {
    /// Id of each name.
    ids: HashMap<NodeName, NodeId>,
    /// The names, indexed by id.
    names: Vec<NodeName>,
}

impl NodeTable {
    /// The id of a node; a new node gets the next id.
    pub fn id(&mut self, name: &NodeName) -> NodeId {
        if let Some(id) = self.ids.get(name) {
            return *id;
        }
        let id = NodeId(self.names.len() as u64);
        self.ids.insert(name.clone(), id);
        self.names.push(name.clone());
        id
    }

    /// The name of a node.
    ///
    /// # Panics
    ///
    /// If no node has this id.
    #[must_use]
    pub fn name(&self, id: NodeId) -> &NodeName {
        &self.names[id.0 as usize]
    }
}
