//! A gateway process with a platform configuration, and its connections, signals and reloads.

use super::config::{platform_config, replace_setting};
use super::connection::Connection;
use super::discovery::FakeDiscovery;
use super::gateway_process::{GatewayProcess, GATEWAY_PROGRAM};
use super::log_lines;
use super::node::FakeStorageNode;
use super::resp::encode_command;
use super::test_directory::TestDirectory;
use rustix::process::Signal;
use std::net::SocketAddr;
use std::process::{Command, Stdio};

/// The gateway reads at most this many bytes from a socket at once.
pub const MAX_READ_BYTES: usize = 16 << 10;
/// The name of the configuration file.
const CONFIG_FILE: &str = "config.json";
/// More clients than one turn of the event loop handles, which is at most 256 ready connections.
/// The additional 64 make sure that a connection that becomes ready after them is not handled in
/// the same turn.
const CLIENT_COUNT_EXCEEDING_ONE_TURN: usize = 256 + 64;
/// The gateway accepts at most this many connections in one turn of the event loop.
const MAX_ACCEPTS_PER_TURN: usize = 64;

/// A running gateway whose configuration file the test can change.
pub struct Gateway {
    // Declared before `directory`, so that the process is killed before its files are removed.
    process: GatewayProcess,
    directory: TestDirectory,
    address: SocketAddr,
    config: String,
    discovery: SocketAddr,
}

impl Gateway {
    /// Starts a gateway and waits until it accepts RESP2 clients. Its configuration contains the
    /// nodes as cached endpoints; `edit_config` changes the configuration before the start.
    pub fn start(
        nodes: &[&FakeStorageNode],
        discovery: &FakeDiscovery,
        edit_config: impl Fn(&str) -> String,
    ) -> Self {
        let cached_entries: Vec<String> =
            nodes.iter().map(|node| node.in_service_entry()).collect();
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

    /// Connects a RESP2 client.
    pub fn connect(&self) -> Connection {
        Connection::connect(self.address)
    }

    /// Connects a client and sends bytes, without waiting until the gateway has read them.
    pub fn connect_and_send(&self, bytes: impl AsRef<[u8]>) -> Connection {
        let mut client = self.connect();
        client.send(bytes);
        client
    }

    /// Connects a client and sends bytes while the gateway is paused, so that the connection and
    /// the bytes are ready in the same turn of its event loop. A gateway that is shutting down
    /// waits only briefly for a new connection and for its first bytes.
    pub fn connect_and_send_while_paused(&self, bytes: impl AsRef<[u8]>) -> Connection {
        self.pause();
        let client = self.connect_and_send(bytes);
        self.resume();
        client
    }

    /// Connects a client, sends the first half of a request and waits until the gateway has read
    /// it.
    pub fn connect_with_partial_request(&self, first_half: &str) -> Connection {
        let client = self.connect_and_send(first_half);
        self.wait_until_input_is_processed();
        client
    }

    /// Connects a client that has received a reply to `PING` and has no request in flight.
    pub fn connect_idle_client(&self) -> Connection {
        let mut client = self.connect();
        client.send_ping();
        client.expect_pong();
        client
    }

    /// Connects [`CLIENT_COUNT_EXCEEDING_ONE_TURN`] clients that have no request in flight. If all
    /// of them send a `PING` to the paused gateway, input that arrives after theirs is not handled
    /// in the next turn of its event loop, but in a later one. Needs
    /// [`with_1024_descriptors`](super::config::with_1024_descriptors).
    pub fn connect_more_idle_clients_than_one_turn_handles(&self) -> Vec<Connection> {
        (0..CLIENT_COUNT_EXCEEDING_ONE_TURN)
            .map(|_| self.connect_idle_client())
            .collect()
    }

    /// As [`Self::connect_more_idle_clients_than_one_turn_handles`], with clients that have sent
    /// the first half of a request: a gateway that is shutting down does not close these
    /// connections.
    pub fn connect_more_partial_requests_than_one_turn_handles(
        &self,
        first_half: &str,
    ) -> Vec<Connection> {
        let mut clients = Vec::new();
        while clients.len() < CLIENT_COUNT_EXCEEDING_ONE_TURN {
            self.pause();
            clients.extend((0..MAX_ACCEPTS_PER_TURN).map(|_| self.connect_and_send(first_half)));
            self.resume();
            self.wait_until_input_is_processed();
        }
        clients
    }

    /// Waits until the gateway has processed all input that was ready on its sockets before the
    /// call: a new client sends a `PING` and waits for the reply.
    pub fn wait_until_input_is_processed(&self) {
        let mut client = self.connect_and_send_while_paused(encode_command("PING"));
        client.receive_value();
    }

    /// Pauses the process with SIGSTOP: all input until [`Self::resume`] is ready in the same turn
    /// of its event loop.
    pub fn pause(&self) {
        self.process.pause();
    }

    /// Resumes a paused process.
    pub fn resume(&self) {
        self.process.resume();
    }

    /// Sets the limit on open descriptors of the running process; `None` allows no further one.
    pub fn limit_descriptors(&self, limit: Option<u64>) {
        self.process.limit_descriptors(limit);
    }

    /// Returns the processor time that the process has used, in clock ticks of 10 ms.
    pub fn processor_ticks(&self) -> u64 {
        self.process.processor_ticks()
    }

    /// Returns the largest resident memory of the process so far, in bytes.
    pub fn peak_memory_bytes(&self) -> u64 {
        self.process.peak_memory_bytes()
    }

    /// Sends SIGTERM and returns at once; the gateway may be paused.
    pub fn send_sigterm(&self) {
        self.process.send_signal(Signal::TERM);
    }

    /// Sends SIGHUP and returns at once; the gateway may be paused.
    pub fn send_sighup(&self) {
        self.process.send_signal(Signal::HUP);
    }

    /// Sends SIGTERM and waits until the gateway has handled it.
    pub fn request_shutdown(&mut self) {
        self.send_sigterm();
        self.wait_for_log(log_lines::SHUTDOWN_REQUESTED);
    }

    /// Sends SIGTERM and waits until the gateway closes an idle client connection, which it does
    /// after the shutdown grace period. Until then, it works as before.
    pub fn request_shutdown_and_wait_for_idle_close(&mut self) {
        let mut idle = self.connect_idle_client();
        self.request_shutdown();
        idle.expect_closed();
    }

    /// Waits until the graceful shutdown is complete and checks that the exit status is 0.
    pub fn expect_clean_exit(&mut self) {
        self.wait_for_log(log_lines::SHUTDOWN_COMPLETE);
        assert!(self.process.wait_for_exit().success());
    }

    /// Replaces the address of discovery in the configuration file.
    pub fn write_config_with_discovery(&mut self, discovery: &FakeDiscovery) {
        let address = discovery.address();
        self.config = replace_setting(
            &self.config,
            &self.discovery.to_string(),
            &address.to_string(),
        );
        self.discovery = address;
        self.directory.write(CONFIG_FILE, &self.config);
    }

    /// Replaces the address of discovery in the configuration file, sends SIGHUP and waits until
    /// the gateway has reloaded its configuration.
    pub fn reload_with_discovery(&mut self, discovery: &FakeDiscovery) {
        self.write_config_with_discovery(discovery);
        self.send_sighup();
        self.wait_for_log(log_lines::CONFIG_RELOADED);
    }
}
