//! The endpoint list as last received from discovery or read from the inventory, and the operator's
//! overrides.

use crate::endpoint::EndpointRecord;
use io_scheduler::{EndpointListEvent, EndpointStatus};
use std::collections::{BTreeMap, BTreeSet};

/// The operator named a node that is not in the endpoint list.
#[derive(Debug, thiserror::Error)]
#[error("no node named '{0}' in the endpoint list")]
pub(super) struct UnknownNode(String);

/// The override of a node's status that the operator has set at the console.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum OperatorOverride {
    /// No override: the node has the status that the endpoint list states.
    Unset,
    /// The node is treated as draining while the endpoint list states that it is in service.
    Drain,
}

/// The listed nodes, and which of them the operator drains.
#[derive(Debug, Default)]
pub(super) struct EndpointTable {
    /// The records as listed, without overrides, by node name.
    records: BTreeMap<String, EndpointRecord>,
    /// Names of the nodes with [`OperatorOverride::Drain`]. They are kept when the list changes.
    drained_by_operator: BTreeSet<String>,
}

impl EndpointTable {
    /// Returns the number of listed nodes.
    pub(super) fn count(&self) -> usize {
        self.records.len()
    }

    /// Stores records as listed, and returns them with the operator's overrides applied. Every
    /// event except a delta replaces the complete list.
    #[must_use]
    pub(super) fn update(
        &mut self,
        event: EndpointListEvent,
        listed: Vec<EndpointRecord>,
    ) -> Vec<EndpointRecord> {
        if event != EndpointListEvent::Delta {
            self.records.clear();
        }
        for record in &listed {
            self.records.insert(record.name.clone(), record.clone());
        }
        self.records
            .retain(|_, record| record.status != EndpointStatus::Removed);
        listed
            .into_iter()
            .map(|record| self.with_override(record))
            .collect()
    }

    /// Sets or clears the operator's override of a listed node. Returns the node's record as
    /// listed, without the override.
    pub(super) fn set_override(
        &mut self,
        name: &str,
        operator_override: OperatorOverride,
    ) -> Result<EndpointRecord, UnknownNode> {
        let Some(record) = self.records.get(name) else {
            return Err(UnknownNode(name.to_owned()));
        };
        match operator_override {
            OperatorOverride::Drain => self.drained_by_operator.insert(name.to_owned()),
            OperatorOverride::Unset => self.drained_by_operator.remove(name),
        };
        Ok(record.clone())
    }

    /// Applies the operator's override of a node to its listed record.
    fn with_override(&self, mut record: EndpointRecord) -> EndpointRecord {
        let is_in_service = record.status == EndpointStatus::InService;
        if is_in_service && self.drained_by_operator.contains(&record.name) {
            record.status = EndpointStatus::Draining;
        }
        record
    }
}
