//! The operator's console: parsing of the command lines, and formatting of the tables that it
//! prints. The event loop executes the commands.

mod command;
mod tables;

pub use command::{parse, ConsoleCommand, ConsoleError, HELP};
pub use tables::{format_nodes, format_volumes};
