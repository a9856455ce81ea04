//! Storage nodes: they record the attempts that they receive, and respond as the plan demands.

use super::resp::{StreamDecoder, Value};
use super::wire::{stated_timeout, value_for, BARRIER};
use super::Shared;
use crate::plan::NodeMode;
use crate::record::{Event, GatewayIndex, ReceivedAttempt};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::Duration;

/// How long a read waits before the end of the run is checked.
const READ_TIMEOUT: Duration = Duration::from_millis(200);
/// The position of the digits of a request id that state the gateway.
const GATEWAY_DIGITS: std::ops::Range<usize> = 0..4;

/// A storage node that listens on a port of its own.
pub(super) struct StorageNode {
    /// The name in the endpoint list.
    pub(super) name: String,
    /// The address.
    pub(super) address: SocketAddr,
    /// How the node treats requests.
    mode: Arc<Mutex<NodeMode>>,
}

/// A connection from a gateway.
struct NodeConnection {
    /// The name of the node.
    name: String,
    /// The stream.
    stream: TcpStream,
    /// How the node treats requests.
    mode: Arc<Mutex<NodeMode>>,
    /// Source of the service times.
    random: StdRng,
    /// The state of the run.
    shared: Shared,
}

impl StorageNode {
    /// Starts a node.
    pub(super) fn start(index: usize, seed: u64, shared: &Shared) -> io::Result<StorageNode> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let node = StorageNode {
            name: format!("s-{index}"),
            address: listener.local_addr()?,
            mode: Arc::new(Mutex::new(NodeMode::Serve)),
        };
        let name = node.name.clone();
        let mode = Arc::clone(&node.mode);
        let shared = shared.clone();
        let mut random = StdRng::seed_from_u64(seed ^ index as u64);
        thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                if shared.is_over() {
                    return;
                }
                let connection = NodeConnection {
                    name: name.clone(),
                    stream,
                    mode: Arc::clone(&mode),
                    random: StdRng::seed_from_u64(random.random()),
                    shared: shared.clone(),
                };
                thread::spawn(move || connection.serve());
            }
        });
        Ok(node)
    }

    /// Changes how the node treats requests.
    pub(super) fn set_mode(&self, mode: NodeMode) {
        *self.mode.lock().unwrap_or_else(PoisonError::into_inner) = mode;
    }
}

impl NodeConnection {
    /// Serves the connection until it ends. An error of the stream ends it as well.
    fn serve(mut self) {
        let _ = self.stream.set_nodelay(true);
        let _ = self.stream.set_read_timeout(Some(READ_TIMEOUT));
        let mut decoder = StreamDecoder::default();
        let mut bytes = [0; 16 << 10];
        while !self.shared.is_over() {
            match self.stream.read(&mut bytes) {
                Ok(0) => return,
                Ok(count) => decoder.feed(&bytes[..count], self.shared.recorder.now()),
                Err(error) if is_timeout(&error) => continue,
                Err(_) => return,
            }
            while let Some((command, first_byte_at)) = decoder.next() {
                if self.handle(&command, first_byte_at).is_err() {
                    return;
                }
            }
        }
    }

    /// Records a command and responds to it. An error ends the connection.
    fn handle(&mut self, command: &Value, first_byte_at: Duration) -> io::Result<()> {
        if is_barrier(command) {
            return self.stream.write_all(b"+OK\r\n");
        }
        let Some((request, options)) = request_of(command) else {
            return self.stream.write_all(b"-ERR unknown command\r\n");
        };
        let mode = *self.mode.lock().unwrap_or_else(PoisonError::into_inner);
        let attempt = ReceivedAttempt {
            node: self.name.clone(),
            request: request.to_owned(),
            first_byte_at,
            stated_timeout: stated_timeout(options),
            is_executed: mode != NodeMode::Reject,
        };
        let gateway = gateway_of(request);
        let event = Event::AttemptReceived(attempt);
        self.shared.recorder.add(gateway, event);
        self.respond(request, mode)
    }

    /// Responds to a request.
    fn respond(&mut self, request: &str, mode: NodeMode) -> io::Result<()> {
        let service_time = Duration::from_millis(self.random.random_range(1..30));
        thread::sleep(service_time);
        match mode {
            NodeMode::Serve => {
                let value = value_for(request);
                let response = format!("*3\r\n${}\r\n{value}\r\n$-1\r\n$-1\r\n", value.len());
                self.stream.write_all(response.as_bytes())
            }
            NodeMode::Hang => Ok(()),
            NodeMode::Fail => self.stream.write_all(b"-ERR failed\r\n"),
            NodeMode::Reject => self.stream.write_all(b"-BUSY\r\n"),
            NodeMode::Reset => Err(io::ErrorKind::ConnectionReset.into()),
            NodeMode::Malformed => self.stream.write_all(b"*3\r\n$x\r\n!\r\n"),
        }
    }
}

/// Returns whether a command has no effect and is replied to with `+OK`.
fn is_barrier(command: &Value) -> bool {
    let Value::Array(words) = command else {
        return false;
    };
    matches!(words.first(), Some(Value::Bulk(Some(name))) if name == BARRIER)
}

/// Returns the id and the options of a request; `None` for another command.
fn request_of(command: &Value) -> Option<(&str, &str)> {
    let Value::Array(words) = command else {
        return None;
    };
    let [Value::Bulk(Some(name)), _, Value::Bulk(Some(id)), Value::Bulk(Some(options)), ..] =
        words.as_slice()
    else {
        return None;
    };
    name.starts_with("IO.").then_some((id, options))
}

/// Returns the gateway that the id of a request states.
fn gateway_of(request: &str) -> GatewayIndex {
    let digits = request.get(GATEWAY_DIGITS).unwrap_or_default();
    GatewayIndex::from_str_radix(digits, 16).unwrap_or_default()
}

/// Returns whether a read has ended because nothing arrived in time.
pub(super) fn is_timeout(error: &io::Error) -> bool {
    matches!(
        error.kind(),
        io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut
    )
}
