//! The table of the ids of storage nodes.

use crate::wire::NodeName;
use io_scheduler::NodeId;
use std::collections::HashMap;

/// Maps the names of nodes to ids and back. Nodes get consecutive ids from 0, in the order in which
/// messages of any kind first name them.
#[derive(Default)]
pub struct NodeTable {
    /// The id of each name.
    ids: HashMap<NodeName, NodeId>,
    /// The names, indexed by id.
    names: Vec<NodeName>,
}

impl NodeTable {
    /// Returns the id of a node. A name that is not in the table gets the next id.
    pub fn id(&mut self, name: &NodeName) -> NodeId {
        if let Some(id) = self.ids.get(name) {
            return *id;
        }
        let id = NodeId(self.names.len() as u64);
        self.ids.insert(name.clone(), id);
        self.names.push(name.clone());
        id
    }

    /// Returns the name of a node.
    ///
    /// # Panics
    ///
    /// Panics if no node has this id.
    #[must_use]
    pub fn name(&self, id: NodeId) -> &NodeName {
        &self.names[id.0 as usize]
    }
}
