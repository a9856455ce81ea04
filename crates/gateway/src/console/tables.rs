//! Formats the tables of nodes and volumes, and the sizes of tables, for the console.

use crate::config::SftpVolume;
use crate::dispatcher::{NamedTableSize, NodeState, VolumeCounters};
use crate::hex_id::HexId;
use io_scheduler::{EndpointStatus, Shard, Units, VolumeId};
use std::collections::BTreeMap;
use std::fmt::Write;

/// Formats the table of nodes. The column `out` is the number of attempts in flight, and `units`
/// the units that the node has served for this gateway.
pub fn format_nodes<'a>(nodes: impl Iterator<Item = &'a NodeState>) -> String {
    let mut table = format!(
        "{:<24} {:>6} {:<9} {:>5} {:>12}\n",
        "node", "shard", "state", "out", "units"
    );
    for node in nodes {
        append_node(&mut table, node);
    }
    table
}

/// Appends the row of a node.
fn append_node(table: &mut String, node: &NodeState) {
    let NodeState {
        name,
        shard: Shard(shard),
        status,
        served_units: Units(units),
        attempts_in_flight,
        ..
    } = node;
    let state = status_label(*status);
    // Writing to a string cannot fail.
    let _ = writeln!(
        table,
        "{name:<24} {shard:>6} {state:<9} {attempts_in_flight:>5} {units:>12.1}"
    );
}

/// Returns the text for a node's status in the column `state`.
fn status_label(status: EndpointStatus) -> &'static str {
    match status {
        EndpointStatus::InService => "serving",
        EndpointStatus::Draining => "draining",
        EndpointStatus::Removed => "gone",
    }
}

/// Formats the table of volumes. `named_volumes` are the volumes of the SFTP listener: they are
/// shown by name, all others by id. The column `taken` is the number of requests received,
/// `refused` the number of requests rejected.
#[must_use]
pub fn format_volumes(
    volume_counters: &BTreeMap<VolumeId, VolumeCounters>,
    named_volumes: &[SftpVolume],
) -> String {
    let mut table = format!(
        "{:<24} {:>9} {:>9} {:>9} {:>9} {:>12}\n",
        "volume", "taken", "served", "refused", "failed", "units"
    );
    for (id, counters) in volume_counters {
        append_volume(&mut table, &volume_name(*id, named_volumes), counters);
    }
    table
}

/// Appends the row of a volume.
fn append_volume(table: &mut String, name: &str, counters: &VolumeCounters) {
    let VolumeCounters {
        received,
        served,
        rejected,
        failed,
        served_units: Units(units),
        ..
    } = counters;
    // Writing to a string cannot fail.
    let _ = writeln!(
        table,
        "{name:<24} {received:>9} {served:>9} {rejected:>9} {failed:>9} {units:>12.1}"
    );
}

/// Returns the name of a volume if it is one of `named_volumes`, and its id otherwise.
fn volume_name(id: VolumeId, named_volumes: &[SftpVolume]) -> String {
    match named_volumes.iter().find(|volume| volume.id == id) {
        Some(volume) => volume.name.clone(),
        None => HexId(id.0).to_string(),
    }
}

/// Formats how full the tables are whose keys clients choose, in one line.
#[must_use]
pub fn format_table_sizes(tables: &[NamedTableSize]) -> String {
    let sizes: Vec<String> = tables
        .iter()
        .map(|table| {
            format!(
                "{} {} of {}",
                table.name, table.size.entries, table.size.limit
            )
        })
        .collect();
    format!("{}\n", sizes.join(", "))
}
