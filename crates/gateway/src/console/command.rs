//! Parses the command lines of the console.

/// A command of the console.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ConsoleCommand {
    /// Print a one-line summary of the gateway's state.
    Status,
    /// Print how long the turns of the event loop take.
    Turns,
    /// Print the table of nodes.
    Nodes,
    /// Print the table of volumes.
    Volumes,
    /// Drain the node with this name.
    Drain(String),
    /// Stop draining the node with this name, which returns to its status in the endpoint list.
    Undrain(String),
    /// Read the inventory again; an invalid one changes nothing.
    Reload,
    /// Print [`HELP`].
    Help,
    /// Shut the gateway down gracefully: it ends when all accepted requests are finished.
    Quit,
    /// An empty line: do nothing.
    Empty,
}

/// An error in a command line. The console prints its text to the operator.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ConsoleError {
    /// The command was not given exactly one argument, the name of a node.
    #[error("{command}: expected the name of one node; usage: {command} NAME")]
    NodeNameExpected {
        /// The command that was entered.
        command: String,
    },
    /// No command has this name, or the command takes no arguments and was given some.
    #[error(
        "unknown command, or unexpected arguments: '{command}'; enter help for a list of commands"
    )]
    UnknownCommand {
        /// The first word of the line.
        command: String,
    },
}

/// The text that the command `help` prints.
pub const HELP: &str = "\
status        print the numbers of nodes, connections and open requests, and how full tables are
turns         print the longest turn of the event loop and the number of slow turns
nodes         list nodes: shard, state, attempts in flight (out), units served
volumes       list volumes: requests received (taken), served, rejected (refused), failed; units
drain NAME    send no new attempts to the node; attempts in flight are completed
undrain NAME  stop draining the node; it gets its status in the endpoint list again
reload        read the inventory again; an invalid inventory changes nothing
help          print this list of commands
quit          complete the accepted requests, then shut down
";

/// Parses a command line. Words are separated by whitespace.
///
/// # Errors
///
/// Returns an error if there is no such command, or if its arguments are wrong.
pub fn parse(line: &str) -> Result<ConsoleCommand, ConsoleError> {
    let words: Vec<&str> = line.split_whitespace().collect();
    match words.as_slice() {
        [] => Ok(ConsoleCommand::Empty),
        ["status"] => Ok(ConsoleCommand::Status),
        ["turns"] => Ok(ConsoleCommand::Turns),
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
