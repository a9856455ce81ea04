//! The operator's console: parsing of the command lines, and formatting of the tables that it prints. The event
//! loop executes the commands.

use crate::config::SftpVolume;
use crate::dispatcher::{NodeState, VolumeCounters};
use crate::hex_id::HexId;
use io_scheduler::EndpointStatus;
use std::collections::BTreeMap;
use std::fmt::Write;

/// A command line of the console.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ConsoleCommand {
    /// Print a summary of the gateway's state.
    Status,
    /// Print the table of nodes.
    Nodes,
    /// Print the table of volumes.
    Volumes,
    /// Drain the node with this name.
    Drain(String),
    /// Stop draining the node with this name.
    Undrain(String),
    /// Read the inventory again.
    Reload,
    /// Print [`HELP`].
    Help,
    /// Shut the gateway down gracefully.
    Quit,
    /// An empty line: print nothing.
    Nothing,
}

/// A line that is not a command. The text is shown to the operator.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ConsoleError {
    /// The command takes the name of a node and nothing else.
    #[error("{command} takes the name of one node")]
    NodeNameExpected {
        /// The command.
        command: String,
    },
    /// No command has this name.
    #[error("'{command}' is no command here: try help")]
    UnknownCommand {
        /// The first word of the line.
        command: String,
    },
}

/// The text that the command `help` prints.
pub const HELP: &str = "\
status        what the gateway is doing
nodes         the nodes, their state and service
volumes       service by volume
drain NAME    send a node nothing new; what it has is finished
undrain NAME  take that back
reload        read the inventory again; a bad one changes nothing
help          this list
quit          finish what has been taken and end
";

/// Parses a command line.
///
/// # Errors
///
/// Fails if the line is not a command.
pub fn parse(line: &str) -> Result<ConsoleCommand, ConsoleError> {
    let words: Vec<&str> = line.split_whitespace().collect();
    match words.as_slice() {
        [] => Ok(ConsoleCommand::Nothing),
        ["status"] => Ok(ConsoleCommand::Status),
        ["nodes"] => Ok(ConsoleCommand::Nodes),
        ["volumes"] => Ok(ConsoleCommand::Volumes),
        ["drain", name] => Ok(ConsoleCommand::Drain((*name).to_owned())),
        ["undrain", name] => Ok(ConsoleCommand::Undrain((*name).to_owned())),
        [command @ ("drain" | "undrain"), ..] => Err(ConsoleError::NodeNameExpected {
            command: (*command).to_owned(),
        }),
        ["reload"] => Ok(ConsoleCommand::Reload),
        ["help" | "?"] => Ok(ConsoleCommand::Help),
        ["quit" | "exit"] => Ok(ConsoleCommand::Quit),
        [command, ..] => Err(ConsoleError::UnknownCommand {
            command: (*command).to_owned(),
        }),
    }
}

/// Formats the table of nodes.
pub fn format_nodes<'a>(nodes: impl Iterator<Item = &'a NodeState>) -> String {
    let mut text = format!(
        "{:<24} {:>6} {:<9} {:>5} {:>12}\n",
        "node", "shard", "state", "out", "units"
    );
    for node in nodes {
        let state = match node.status {
            EndpointStatus::InService => "serving",
            EndpointStatus::Draining => "draining",
            EndpointStatus::Removed => "gone",
        };
        // Writing to a string cannot fail.
        let _ = writeln!(
            text,
            "{:<24} {:>6} {state:<9} {:>5} {:>12.1}",
            node.name, node.shard, node.attempts_in_flight, node.units
        );
    }
    text
}

/// Formats the table of volumes. A volume is shown by its name if it is one of `named_volumes`, the volumes of
/// the SFTP listener, and by its id otherwise.
#[must_use]
pub fn format_volumes(
    volume_counters: &BTreeMap<u64, VolumeCounters>,
    named_volumes: &[SftpVolume],
) -> String {
    let mut text = format!(
        "{:<24} {:>9} {:>9} {:>9} {:>9} {:>12}\n",
        "volume", "taken", "served", "refused", "failed", "units"
    );
    for (id, counters) in volume_counters {
        let name = match named_volumes.iter().find(|volume| volume.id == *id) {
            Some(volume) => volume.name.clone(),
            None => HexId(*id).to_string(),
        };
        // Writing to a string cannot fail.
        let _ = writeln!(
            text,
            "{name:<24} {:>9} {:>9} {:>9} {:>9} {:>12.1}",
            counters.received, counters.served, counters.rejected, counters.failed, counters.units
        );
    }
    text
}
