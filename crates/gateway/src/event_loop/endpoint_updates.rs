//! Applies updates of the endpoint list: addresses go to the connection pools, records to the
//! dispatcher.

use super::endpoint_table::{OperatorOverride, UnknownNode};
use super::gateway::Gateway;
use crate::connections::node::NodeAddress;
use crate::endpoint::{EndpointListUpdate, EndpointRecord, Protocol};
use crate::inventory::{self, InventoryError};
use io_scheduler::EndpointListEvent;

impl Gateway {
    /// Applies a snapshot or a delta of the endpoint list. `event` is the event that is reported to
    /// the scheduler for it.
    pub(super) fn apply_endpoint_update(
        &mut self,
        update: &EndpointListUpdate,
        event: EndpointListEvent,
    ) {
        let mut records = Vec::with_capacity(update.endpoints.len());
        for endpoint in update.listed_endpoints() {
            let address = NodeAddress {
                socket_address: endpoint.address,
                protocol: Protocol::Resp2,
            };
            self.set_node_address(&endpoint.record.name, address);
            records.push(endpoint.record);
        }
        self.apply_records(event, records);
    }

    /// Reloads the inventory, applies it as the complete list, and returns the number of nodes in
    /// it. An invalid inventory changes nothing. Without a configured inventory, returns the number
    /// of listed nodes.
    pub(super) fn reload_inventory(&mut self) -> Result<usize, InventoryError> {
        let Some(path) = &self.context.config.inventory else {
            return Ok(self.endpoints.count());
        };
        let entries = inventory::read(path)?;
        let mut records = Vec::with_capacity(entries.len());
        for entry in entries {
            let address = NodeAddress {
                socket_address: entry.address,
                protocol: entry.protocol,
            };
            self.set_node_address(&entry.record.name, address);
            records.push(entry.record);
        }
        let count = records.len();
        self.apply_records(EndpointListEvent::Snapshot, records);
        Ok(count)
    }

    /// Sets or clears the operator's override of a listed node, and applies the resulting record.
    pub(super) fn override_node(
        &mut self,
        name: &str,
        operator_override: OperatorOverride,
    ) -> Result<(), UnknownNode> {
        let record = self.endpoints.set_override(name, operator_override)?;
        self.apply_records(EndpointListEvent::Delta, vec![record]);
        Ok(())
    }

    /// Sets the address of the node with this name, which is added if it is unknown.
    fn set_node_address(&mut self, name: &str, address: NodeAddress) {
        let node = self.context.dispatcher.node_id_or_insert(name);
        self.node_connections
            .set_address(node, address, &mut self.context);
    }

    /// Stores records as listed, passes them to the dispatcher with the operator's overrides, and
    /// removes the connection pools of nodes that the dispatcher has dropped.
    fn apply_records(&mut self, event: EndpointListEvent, listed: Vec<EndpointRecord>) {
        let records = self.endpoints.update(event, listed);
        self.context
            .dispatcher
            .update_endpoints(event, &records, self.context.now);
        self.node_connections.remove_unlisted(&mut self.context);
    }
}
