//! The endpoint list as the gateway uses it: the nodes that discovery or the inventory lists, with the
//! operator's overrides.

use super::Context;
use crate::connections::node::{NodeAddress, NodeConnections};
use crate::discovery::{EndpointListUpdate, ListedEndpoint};
use crate::endpoint::EndpointRecord;
use crate::inventory::{self, InventoryError, Protocol};
use io_scheduler::{EndpointListEvent, EndpointStatus};
use std::collections::{BTreeMap, BTreeSet};

/// No listed node has this name.
#[derive(Debug, thiserror::Error)]
#[error("no node is named '{0}'")]
pub(super) struct UnknownNode(String);

/// What the operator has set for a node at the console.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum OperatorOverride {
    /// The node has the status that the endpoint list states.
    None,
    /// The node is draining if the endpoint list states that it is in service.
    Drain,
}

/// The nodes as last listed, and those that the operator drains.
#[derive(Debug, Default)]
pub(super) struct EndpointTable {
    /// The records as listed, without overrides, by the name of the node.
    records: BTreeMap<String, EndpointRecord>,
    /// Names of the nodes with [`OperatorOverride::Drain`]; they stay over changes of the list.
    drained_by_operator: BTreeSet<String>,
}

impl EndpointTable {
    /// Applies a list or a delta from discovery: addresses go to the connection pools, records to the
    /// dispatcher.
    pub(super) fn apply_update(
        &mut self,
        update: &EndpointListUpdate,
        kind: EndpointListEvent,
        node_connections: &mut NodeConnections,
        context: &mut Context,
    ) {
        let mut records = Vec::with_capacity(update.endpoints.len());
        for ListedEndpoint { record, address } in update.listed_endpoints() {
            let node = context.dispatcher.node_id(&record.name);
            node_connections.set_address(
                node,
                NodeAddress {
                    address,
                    protocol: Protocol::Resp2,
                },
                context,
            );
            records.push(record);
        }
        self.apply(kind, records, node_connections, context);
    }

    /// Reads the inventory again and applies it as the complete list; returns how many nodes it lists. An
    /// invalid one changes nothing.
    pub(super) fn reload_inventory(
        &mut self,
        node_connections: &mut NodeConnections,
        context: &mut Context,
    ) -> Result<usize, InventoryError> {
        let Some(path) = context.config.inventory.clone() else {
            return Ok(self.records.len());
        };
        let entries = inventory::read(&path)?;
        for entry in &entries {
            let node = context.dispatcher.node_id(&entry.record.name);
            let address = NodeAddress {
                address: entry.address,
                protocol: entry.protocol,
            };
            node_connections.set_address(node, address, context);
        }
        let count = entries.len();
        let records = entries.into_iter().map(|entry| entry.record).collect();
        self.apply(
            EndpointListEvent::Snapshot,
            records,
            node_connections,
            context,
        );
        Ok(count)
    }

    /// Sets the operator's override of a listed node and applies the node's record with it.
    pub(super) fn set_override(
        &mut self,
        name: &str,
        operator_override: OperatorOverride,
        node_connections: &mut NodeConnections,
        context: &mut Context,
    ) -> Result<(), UnknownNode> {
        let record = self.record(name)?;
        match operator_override {
            OperatorOverride::Drain => self.drained_by_operator.insert(name.to_owned()),
            OperatorOverride::None => self.drained_by_operator.remove(name),
        };
        self.apply(
            EndpointListEvent::Delta,
            vec![record],
            node_connections,
            context,
        );
        Ok(())
    }

    /// The record of a node as listed.
    fn record(&self, name: &str) -> Result<EndpointRecord, UnknownNode> {
        self.records
            .get(name)
            .cloned()
            .ok_or_else(|| UnknownNode(name.to_owned()))
    }

    /// Stores records as listed and passes them to the dispatcher with the operator's overrides. Any event
    /// but a delta replaces the whole list.
    fn apply(
        &mut self,
        kind: EndpointListEvent,
        mut records: Vec<EndpointRecord>,
        node_connections: &mut NodeConnections,
        context: &mut Context,
    ) {
        if kind != EndpointListEvent::Delta {
            self.records.clear();
        }
        for record in &mut records {
            self.records.insert(record.name.clone(), record.clone());
            let is_in_service = record.status == EndpointStatus::InService;
            if is_in_service && self.drained_by_operator.contains(&record.name) {
                record.status = EndpointStatus::Draining;
            }
        }
        context
            .dispatcher
            .update_endpoints(kind, &records, context.now);
        self.records
            .retain(|_, record| record.status != EndpointStatus::Removed);
        node_connections.remove_unlisted(context);
    }
}
