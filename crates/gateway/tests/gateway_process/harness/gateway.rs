//! A gateway on the platform's configuration, with what tests do to it.

use super::config::{platform_config, replace_setting};
use super::connection::Connection;
use super::discovery::DiscoveryService;
use super::gateway_process::{GatewayProcess, GATEWAY_PROGRAM};
use super::log_lines;
use super::node::StorageNode;
use super::resp::encode_command;
use super::test_directory::TestDirectory;
use rustix::process::Signal;
use std::net::SocketAddr;
use std::process::{Command, Stdio};

/// The gateway reads this many bytes at once from a socket.
pub const READ_SIZE: usize = 16 << 10;
/// The configuration file in the gateway's directory.
const CONFIG_FILE: &str = "config.json";
/// Clients that fill one iteration of the event loop if all of them have sent something: it
/// handles 256 ready connections, and some more make sure that none of the first overtakes the
/// last.
const CLIENTS_OF_A_FULL_ITERATION: usize = 256 + 64;
/// The gateway accepts this many connections in one iteration.
const MAX_ACCEPTED_PER_ITERATION: usize = 64;

/// A gateway whose configuration the test can change.
pub struct Gateway {
    // Declared before the directory: the process ends before its files are removed.
    process: GatewayProcess,
    directory: TestDirectory,
    address: SocketAddr,
    config: String,
    discovery: SocketAddr,
}

impl Gateway {
    /// Starts a gateway that has cached the nodes' entries; `edit_config` changes its
    /// configuration.
    pub fn start(
        nodes: &[&StorageNode],
        discovery: &DiscoveryService,
        edit_config: impl Fn(&str) -> String,
    ) -> Self {
        let cached_entries: Vec<String> = nodes.iter().map(|node| node.in_service()).collect();
        let config = edit_config(&platform_config(discovery.address(), &cached_entries));
        let directory = TestDirectory::new();
        let path = directory.write(CONFIG_FILE, &config);
        let mut command = Command::new(GATEWAY_PROGRAM);
        command
            .env("ROUTER_CONFIG", path)
            .stdin(Stdio::null())
            .stdout(Stdio::null());
        let mut process = GatewayProcess::spawn(&mut command);
        let address = process.wait_for_resp_listener();
        Self {
            process,
            directory,
            address,
            config,
            discovery: discovery.address(),
        }
    }

    /// Waits for a log line that contains the text (see [`log_lines`]).
    #[track_caller]
    pub fn wait_for_log(&mut self, text: &str) {
        self.process.wait_for_log(text);
    }

    /// Connects a client.
    pub fn connect(&self) -> Connection {
        Connection::connect(self.address)
    }

    /// Connects a client that sends these bytes, without waiting until the gateway has read them.
    pub fn connect_and_send(&self, bytes: impl AsRef<[u8]>) -> Connection {
        let mut client = self.connect();
        client.send(bytes);
        client
    }

    /// Connects a client whose connection and first bytes are ready in one iteration of the event
    /// loop: a gateway that drains waits for neither for long.
    pub fn connect_and_send_at_once(&self, bytes: impl AsRef<[u8]>) -> Connection {
        self.pause();
        let client = self.connect_and_send(bytes);
        self.resume();
        client
    }

    /// Connects a client and sends the first half of a request, which the gateway has read on
    /// return.
    pub fn connect_with_partial_request(&self, first_half: &str) -> Connection {
        let client = self.connect_and_send(first_half);
        self.wait_until_input_is_processed();
        client
    }

    /// Connects a client that has had an answer, and has no request in flight.
    pub fn connect_idle_client(&self) -> Connection {
        let mut client = self.connect();
        client.send_ping();
        client.expect_pong();
        client
    }

    /// Connects clients that fill one iteration of the event loop once all of them have sent a
    /// `PING` to the paused gateway: what becomes ready after that is handled in the next
    /// iteration. Needs a gateway with many sockets.
    pub fn connect_clients_for_a_full_iteration(&self) -> Vec<Connection> {
        (0..CLIENTS_OF_A_FULL_ITERATION)
            .map(|_| self.connect_idle_client())
            .collect()
    }

    /// As [`Self::connect_clients_for_a_full_iteration`], with clients that have sent the first
    /// half of a request: a gateway that drains does not close their connections.
    pub fn connect_unfinished_clients_for_a_full_iteration(
        &self,
        first_half: &str,
    ) -> Vec<Connection> {
        let mut clients = Vec::new();
        while clients.len() < CLIENTS_OF_A_FULL_ITERATION {
            self.pause();
            clients
                .extend((0..MAX_ACCEPTED_PER_ITERATION).map(|_| self.connect_and_send(first_half)));
            self.resume();
            self.wait_until_input_is_processed();
        }
        clients
    }

    /// Returns once the gateway has processed everything that was ready on its sockets before the
    /// call.
    pub fn wait_until_input_is_processed(&self) {
        let mut client = self.connect_and_send_at_once(encode_command("PING"));
        client.receive_value();
    }

    /// Stops the process where it is: what happens until [`Self::resume`] is ready in one
    /// iteration of its event loop.
    pub fn pause(&self) {
        self.process.pause();
    }

    /// Lets a paused process go on.
    pub fn resume(&self) {
        self.process.resume();
    }

    /// Sends SIGTERM and doesn't wait for an effect; also to a paused gateway.
    pub fn send_sigterm(&self) {
        self.process.send_signal(Signal::TERM);
    }

    /// Sends SIGHUP and doesn't wait for an effect; also to a paused gateway.
    pub fn send_sighup(&self) {
        self.process.send_signal(Signal::HUP);
    }

    /// Sends SIGTERM and waits until it is handled.
    pub fn request_shutdown(&mut self) {
        self.send_sigterm();
        self.wait_for_log(log_lines::SHUTDOWN_REQUESTED);
    }

    /// Sends SIGTERM and waits until the gateway drains, after the grace period in which
    /// everything goes on unchanged: an idle client connection is closed then.
    pub fn begin_draining(&mut self) {
        let mut idle = self.connect_idle_client();
        self.request_shutdown();
        idle.expect_closed();
    }

    /// Waits for the end of a graceful shutdown.
    pub fn expect_clean_exit(&mut self) {
        self.wait_for_log(log_lines::SHUTDOWN_COMPLETE);
        assert!(self.process.wait_for_exit().success());
    }

    /// Writes another address of discovery into the configuration file.
    pub fn write_discovery_address(&mut self, discovery: &DiscoveryService) {
        let address = discovery.address();
        self.config = replace_setting(
            &self.config,
            &self.discovery.to_string(),
            &address.to_string(),
        );
        self.discovery = address;
        self.directory.write(CONFIG_FILE, &self.config);
    }

    /// Reloads the configuration with another address of discovery, and waits until that is done.
    pub fn reload_with_discovery(&mut self, discovery: &DiscoveryService) {
        self.write_discovery_address(discovery);
        self.send_sighup();
        self.wait_for_log(log_lines::CONFIG_RELOADED);
    }
}
