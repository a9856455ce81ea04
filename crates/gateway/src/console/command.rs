//! Parsing of the console's command lines.

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
