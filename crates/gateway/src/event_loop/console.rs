//! The operator's console on standard input and output.
//!
//! A thread reads standard input and passes it on through a pipe, so that the event loop never blocks on it.

use super::endpoint_table::OperatorOverride;
use super::{Connection, Context, Gateway};
use crate::connection_token::ConnectionToken;
use crate::console::{self, ConsoleCommand};
use io_scheduler::EndpointStatus;
use rustix::event::epoll::EventFlags;
use std::io::{self, Read, Write};
use std::os::unix::net::UnixStream;

/// Longest line in bytes; a longer one is dropped.
const MAX_LINE_BYTES: usize = 4096;

/// Lines typed at the console.
pub(crate) struct ConsoleInput {
    /// The end of the pipe from the thread that reads standard input.
    stream: UnixStream,
    /// The bytes of a line whose end has not arrived yet.
    buffer: Vec<u8>,
}

/// The console's input has ended or can't be read.
struct InputClosed;

impl ConsoleInput {
    /// Starts the thread that reads standard input, and registers its pipe with the poller.
    fn open(context: &mut Context) -> io::Result<()> {
        let (stream, mut writer) = UnixStream::pair()?;
        stream.set_nonblocking(true)?;
        let token = context.connections.reserve();
        context.poller.register(&stream, token, EventFlags::IN)?;
        context.connections.put(
            token,
            Connection::Console(ConsoleInput {
                stream,
                buffer: Vec::new(),
            }),
        );
        std::thread::Builder::new()
            .name("console".into())
            .spawn(move || {
                // An error means that standard input failed or the event loop has ended: the thread ends too.
                let _ = io::copy(&mut io::stdin().lock(), &mut writer);
            })?;
        Ok(())
    }

    /// Reads what has arrived into the buffer.
    fn read_available(&mut self) -> Result<(), InputClosed> {
        let mut bytes = [0; 1024];
        loop {
            match self.stream.read(&mut bytes) {
                Ok(0) => return Err(InputClosed),
                Ok(count) => self.buffer.extend_from_slice(&bytes[..count]),
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return Ok(()),
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(_) => return Err(InputClosed),
            }
        }
    }

    /// Takes the complete lines out of the buffer. An incomplete line is dropped if it is too long.
    fn take_lines(&mut self) -> Vec<String> {
        let mut lines = Vec::new();
        while let Some(end) = self.buffer.iter().position(|byte| *byte == b'\n') {
            let line: Vec<u8> = self.buffer.drain(..=end).collect();
            lines.push(String::from_utf8_lossy(&line).into_owned());
        }
        if self.buffer.len() > MAX_LINE_BYTES {
            self.buffer.clear();
        }
        lines
    }
}

impl Gateway {
    /// Opens the console on standard input. The end of standard input leaves the gateway running.
    ///
    /// # Errors
    ///
    /// If the pipe or the thread that it takes can't be created.
    pub fn open_console(&mut self) -> io::Result<()> {
        ConsoleInput::open(&mut self.context)
    }

    /// Runs the commands that were entered, and prints their output.
    pub(super) fn handle_console_ready(
        &mut self,
        token: ConnectionToken,
        mut console: ConsoleInput,
    ) {
        if console.read_available().is_err() {
            self.context.connections.free(token);
            return;
        }
        let lines = console.take_lines();
        self.context
            .connections
            .put(token, Connection::Console(console));
        for line in lines {
            let output = match console::parse(&line) {
                Ok(command) => self.run_console_command(command),
                Err(error) => format!("{error}\n"),
            };
            let mut stdout = io::stdout().lock();
            // An error means that nobody reads the output any more, which must not end the gateway.
            let _ = stdout
                .write_all(output.as_bytes())
                .and_then(|()| stdout.flush());
        }
    }

    /// Runs a command and returns its output.
    fn run_console_command(&mut self, command: ConsoleCommand) -> String {
        match command {
            ConsoleCommand::Nothing => String::new(),
            ConsoleCommand::Help => console::HELP.to_owned(),
            ConsoleCommand::Nodes => console::format_nodes(self.context.dispatcher.nodes()),
            ConsoleCommand::Volumes => self.volumes(),
            ConsoleCommand::Status => self.status(),
            ConsoleCommand::Drain(name) => {
                self.override_from_console(&name, OperatorOverride::Drain)
            }
            ConsoleCommand::Undrain(name) => {
                self.override_from_console(&name, OperatorOverride::None)
            }
            ConsoleCommand::Reload => self.reload_from_console(),
            ConsoleCommand::Quit => {
                self.request_shutdown();
                "ending once idle\n".to_owned()
            }
        }
    }

    /// The counters of the volumes.
    fn volumes(&self) -> String {
        let named_volumes = match &self.context.config.sftp {
            Some(sftp) => sftp.volumes.as_slice(),
            None => &[],
        };
        console::format_volumes(self.context.dispatcher.volume_counters(), named_volumes)
    }

    /// A summary of the gateway in one line.
    fn status(&self) -> String {
        let nodes = self.context.dispatcher.nodes();
        let in_service = nodes
            .filter(|node| node.status == EndpointStatus::InService)
            .count();
        format!(
            "{}: {in_service} nodes serving, {} client connections, {} node connections, {} requests open{}\n",
            self.context.config.name,
            self.client_connections.count(),
            self.node_connections.count(),
            self.context.dispatcher.open_requests(),
            if self.context.shutdown.is_requested() { ", ending" } else { "" }
        )
    }

    /// Drains a node or ends its draining by the operator; returns the output.
    fn override_from_console(&mut self, name: &str, operator_override: OperatorOverride) -> String {
        if let Err(error) = self.override_node(name, operator_override) {
            return format!("{error}\n");
        }
        match operator_override {
            OperatorOverride::Drain => format!("{name} drains\n"),
            OperatorOverride::None => format!("{name} serves as listed\n"),
        }
    }

    /// Reads the inventory again; returns the output.
    fn reload_from_console(&mut self) -> String {
        if self.context.config.inventory.is_none() {
            return "there is no inventory to read\n".to_owned();
        }
        match self.reload_inventory() {
            Ok(count) => format!("{count} nodes listed\n"),
            Err(error) => format!("kept as it was: {error}\n"),
        }
    }
}
