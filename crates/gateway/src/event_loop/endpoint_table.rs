//! The endpoint list as last received from discovery or the inventory, with the operator's
//! overrides.

use crate::endpoint::EndpointRecord;
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
    /// Number of listed nodes.
    pub(super) fn count(&self) -> usize {
        self.records.len()
    }

    /// Stores records as listed, and returns them with the operator's overrides. Any event but a
    /// delta replaces the complete list.
    #[must_use]
    pub(super) fn update(
        &mut self,
        kind: EndpointListEvent,
        listed: Vec<EndpointRecord>,
    ) -> Vec<EndpointRecord> {
        if kind != EndpointListEvent::Delta {
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

    /// Sets the operator's override of a listed node. Returns the node's record as listed.
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
            OperatorOverride::None => self.drained_by_operator.remove(name),
        };
        Ok(record.clone())
    }

    /// A listed record with the operator's override of its node.
    fn with_override(&self, mut record: EndpointRecord) -> EndpointRecord {
        let is_in_service = record.status == EndpointStatus::InService;
        if is_in_service && self.drained_by_operator.contains(&record.name) {
            record.status = EndpointStatus::Draining;
        }
        record
    }
}
