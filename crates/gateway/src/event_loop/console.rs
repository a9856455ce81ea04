//! Runs the commands that the operator enters at the console, and prints their output.

use super::console_input::ConsoleInput;
use super::endpoint_table::OperatorOverride;
use super::gateway::Gateway;
use crate::console::{self, ConsoleCommand};
use crate::context::MICROS_PER_MILLISECOND;
use io_scheduler::EndpointStatus;
use std::io::{self, Write};

impl Gateway {
    /// Opens the console on standard input. The gateway continues to run when standard input ends.
    ///
    /// # Errors
    ///
    /// Returns an error if the pipe or the thread that reads standard input cannot be created.
    pub fn open_console(&mut self) -> io::Result<()> {
        self.console = Some(ConsoleInput::open(&mut self.context)?);
        Ok(())
    }

    /// Runs the commands that have arrived from the console, and prints their output.
    pub(super) fn handle_console_ready(&mut self) {
        let Some(input) = &mut self.console else {
            return;
        };
        let Ok(lines) = input.read_lines() else {
            return self.close_console();
        };
        for line in lines {
            let output = match console::parse(&line) {
                Ok(command) => self.run_console_command(command),
                Err(error) => format!("{error}\n"),
            };
            print_output(&output);
        }
    }

    /// Closes the console when its input has ended.
    fn close_console(&mut self) {
        if let Some(input) = self.console.take() {
            self.context.free(input.token());
        }
    }

    /// Runs a command and returns its output.
    fn run_console_command(&mut self, command: ConsoleCommand) -> String {
        match command {
            ConsoleCommand::Empty => String::new(),
            ConsoleCommand::Help => console::HELP.to_owned(),
            ConsoleCommand::Turns => self.format_turns(),
            ConsoleCommand::Nodes => console::format_nodes(self.context.dispatcher.nodes()),
            ConsoleCommand::Volumes => self.format_volumes(),
            ConsoleCommand::Status => self.format_status(),
            ConsoleCommand::Drain(name) => {
                self.override_from_console(&name, OperatorOverride::Drain)
            }
            ConsoleCommand::Undrain(name) => {
                self.override_from_console(&name, OperatorOverride::Unset)
            }
            ConsoleCommand::Reload => self.reload_from_console(),
            ConsoleCommand::Quit => {
                self.request_shutdown();
                "shutting down once idle\n".to_owned()
            }
        }
    }

    /// Formats the counters of the volumes as a table.
    fn format_volumes(&self) -> String {
        let named_volumes = match &self.context.config.sftp {
            Some(sftp) => sftp.volumes.as_slice(),
            None => &[],
        };
        console::format_volumes(self.context.dispatcher.volume_counters(), named_volumes)
    }

    /// Formats a summary of the gateway in one line.
    fn format_status(&self) -> String {
        let name = &self.context.config.name;
        let nodes = self.context.dispatcher.nodes();
        let in_service = nodes
            .filter(|node| node.status == EndpointStatus::InService)
            .count();
        let clients = self.client_connections.count();
        let node_connections = self.node_connections.count();
        let requests = self.context.dispatcher.open_requests();
        let shutdown_suffix = if self.context.shutdown.is_requested() {
            ", shutting down"
        } else {
            ""
        };
        format!(
            "{name}: {in_service} nodes in service, {clients} client connections, \
             {node_connections} node connections, {requests} open requests{shutdown_suffix}\n\
             {}{}",
            console::format_table_sizes(&self.context.dispatcher.table_sizes()),
            self.format_buffers()
        )
    }

    /// Formats how full the buffers of the clients are in one line.
    fn format_buffers(&self) -> String {
        let budget = self.context.config.memory_budget;
        format!(
            "input {} of {} bytes, replies {} of {} bytes\n",
            self.client_connections.input_bytes(),
            budget.input_bytes,
            self.client_connections.reply_bytes(),
            budget.unsent_reply_bytes
        )
    }

    /// Formats how long the turns of the event loop take in one line.
    fn format_turns(&self) -> String {
        let longest_ms = self.turn_statistics.longest() / MICROS_PER_MILLISECOND;
        let slow = self.turn_statistics.slow();
        format!("longest turn {longest_ms} ms, {slow} slow turns\n")
    }

    /// Sets or clears the drain override of a node, and returns the output.
    fn override_from_console(&mut self, name: &str, operator_override: OperatorOverride) -> String {
        if let Err(error) = self.override_node(name, operator_override) {
            return format!("{error}\n");
        }
        match operator_override {
            OperatorOverride::Drain => format!("{name} is draining\n"),
            OperatorOverride::Unset => format!("{name} is no longer drained from the console\n"),
        }
    }

    /// Reloads the inventory and returns the output.
    fn reload_from_console(&mut self) -> String {
        if self.context.config.inventory.is_none() {
            return "no inventory is configured\n".to_owned();
        }
        match self.reload_inventory() {
            Ok(count) => format!("inventory reloaded: {count} nodes\n"),
            Err(error) => format!("inventory not reloaded: {error}\n"),
        }
    }
}

/// Prints the output of a command on standard output.
fn print_output(output: &str) {
    let mut stdout = io::stdout().lock();
    // An error means that nobody reads the output any more, which must not stop the gateway.
    let _ = stdout
        .write_all(output.as_bytes())
        .and_then(|()| stdout.flush());
}
