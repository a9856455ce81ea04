//! The operator's console: parses command lines and formats the tables of nodes and volumes. The
//! event loop reads the lines, executes the commands and prints their output.

mod command;
mod tables;

pub use command::{parse, ConsoleCommand, ConsoleError, HELP};
pub use tables::{format_nodes, format_table_sizes, format_volumes};
