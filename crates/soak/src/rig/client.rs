//! Clients: they send requests on connections that they keep, and record the replies.

use super::gateway::{GatewayAddress, SharedAddress};
use super::resp::{StreamDecoder, Value};
use super::storage_node::is_timeout;
use super::wire::{value_for, RequestText};
use super::Shared;
use crate::plan::{Plan, NODE_COUNT};
use crate::record::{Event, GatewayIndex, ReplyKind, SentRequest};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::collections::VecDeque;
use std::io::{self, Read, Write};
use std::net::TcpStream;
use std::ops::ControlFlow;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::PoisonError;
use std::thread::{self, JoinHandle};
use std::time::Duration;

/// How long a client waits for a connection, and before it tries again.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// How long a client waits before it connects again.
const RECONNECT_DELAY: Duration = Duration::from_millis(20);
/// How long a client waits for a reply beyond its time.
const EXTRA_WAIT: Duration = Duration::from_millis(700);
/// How long a client waits until a gateway is ready.
const READY_WAIT: Duration = Duration::from_secs(8);
/// The shortest time that a client waits for a reply.
const MIN_TIMEOUT_MS: u64 = 150;
/// The most commands that a client sends at once.
const MAX_PIPELINED: usize = 6;

/// Number of the next connection, over all clients.
static NEXT_CONNECTION: AtomicU64 = AtomicU64::new(1);

/// A client of one gateway.
struct Client {
    /// The gateway.
    gateway: GatewayIndex,
    /// Number of the client within the gateway.
    number: usize,
    /// Number of requests sent so far.
    sent: u64,
    /// Where the gateway listens.
    address: SharedAddress,
    /// The plan.
    plan: Plan,
    /// Source of all choices.
    random: StdRng,
    /// The state of the run.
    shared: Shared,
}

/// An open connection.
struct ClientConnection {
    /// Its number.
    id: u64,
    /// The stream.
    stream: TcpStream,
    /// Decodes the replies.
    decoder: StreamDecoder,
    /// The replies that have arrived and were not recorded yet.
    received: VecDeque<ReceivedReply>,
}

/// A reply with the time at which its last byte was read.
struct ReceivedReply {
    /// The reply.
    value: Value,
    /// When it was read.
    received_at: Duration,
}

/// Why a client stops using a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stop {
    /// The gateway has ended it.
    Ended,
    /// The client closes it.
    Close,
}

/// Starts a client in a thread of its own.
pub(super) fn start(
    number: usize,
    gateway: GatewayIndex,
    plan: &Plan,
    address: SharedAddress,
    shared: &Shared,
) -> JoinHandle<()> {
    let seed = plan.seed ^ ((gateway as u64) << 32) ^ ((number as u64) << 48);
    let mut client = Client {
        gateway,
        number,
        sent: 0,
        address,
        plan: plan.clone(),
        random: StdRng::seed_from_u64(seed),
        shared: shared.clone(),
    };
    thread::spawn(move || {
        while !client.shared.is_over() {
            let current = client.current_address();
            if let Some(current) = current {
                client.use_connection(current);
            }
            thread::sleep(RECONNECT_DELAY);
        }
    })
}

impl Client {
    /// Returns where the gateway listens; `None` while it is down.
    fn current_address(&self) -> Option<GatewayAddress> {
        *self.address.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Connects, and sends requests until the connection ends.
    fn use_connection(&mut self, gateway: GatewayAddress) {
        let Ok(stream) = TcpStream::connect_timeout(&gateway.address, CONNECT_TIMEOUT) else {
            return;
        };
        let id = NEXT_CONNECTION.fetch_add(1, Ordering::Relaxed);
        let mut connection = ClientConnection {
            id,
            stream,
            decoder: StreamDecoder::default(),
            received: VecDeque::new(),
        };
        let _ = connection.stream.set_nodelay(true);
        let ready = if gateway.is_ready {
            Ok(())
        } else {
            self.wait_until_ready(&mut connection, gateway)
        };
        let stop = match ready {
            Ok(()) if self.sends_continuously() => self.send_continuously(&mut connection),
            Ok(()) => self.send_batches(&mut connection),
            Err(stop) => stop,
        };
        match stop {
            Stop::Ended => self.record(Event::ConnectionEnded { connection: id }),
            Stop::Close => {
                drop(connection);
                self.record(Event::ClientClosed { connection: id });
            }
        }
    }

    /// Records an event of the gateway that occurs now.
    fn record(&self, event: Event) {
        self.shared.recorder.add(self.gateway, event);
    }

    /// Records the reply to a request at the time of its arrival.
    fn record_reply(&self, reply: &ReceivedReply, request: &RequestText) {
        let event = Event::ReplyReceived {
            request: request.id.clone(),
            reply: reply_kind(&reply.value, &request.id),
        };
        let recorder = &self.shared.recorder;
        recorder.add_at(reply.received_at, Some(self.gateway), event);
    }

    /// Returns whether the client does not wait for a reply before it sends the next request.
    fn sends_continuously(&self) -> bool {
        self.plan.has_irregular_clients && self.number == 0
    }

    /// Sends requests at intervals and receives the replies between them, so that the connection is
    /// rarely idle, until it ends.
    fn send_continuously(&mut self, connection: &mut ClientConnection) -> Stop {
        let mut pending = VecDeque::new();
        loop {
            if self.shared.is_over() {
                return Stop::Close;
            }
            let request = self.next_request();
            if self.write_request(connection, &request).is_err() {
                // Replies may have arrived before the connection ended.
                let until = self.shared.recorder.now() + EXTRA_WAIT;
                let ended = self.receive_until(connection, &mut pending, until);
                return ended.err().unwrap_or(Stop::Ended);
            }
            pending.push_back((request, self.shared.recorder.now()));
            let interval = Duration::from_millis(self.random.random_range(50..300));
            let next_at = self.shared.recorder.now() + interval;
            if let Err(stop) = self.receive_until(connection, &mut pending, next_at) {
                return stop;
            }
        }
    }

    /// Receives the replies that arrive until a time of the run.
    fn receive_until(
        &mut self,
        connection: &mut ClientConnection,
        pending: &mut VecDeque<(RequestText, Duration)>,
        next_at: Duration,
    ) -> Result<(), Stop> {
        while let Some((request, sent_at)) = pending.front() {
            let due_at = *sent_at + request.timeout + EXTRA_WAIT;
            match self.receive(connection, next_at) {
                Ok(reply) => {
                    self.record_reply(&reply, request);
                    pending.pop_front();
                }
                Err(Stop::Close) if self.shared.recorder.now() < due_at => return Ok(()),
                Err(stop) => return Err(stop),
            }
        }
        self.shared.wait_until(next_at);
        Ok(())
    }

    /// Sends `PING` and waits for the reply.
    fn wait_until_ready(
        &mut self,
        connection: &mut ClientConnection,
        gateway: GatewayAddress,
    ) -> Result<(), Stop> {
        let ping = connection.stream.write_all(b"*1\r\n$4\r\nPING\r\n");
        ping.map_err(|_| Stop::Ended)?;
        let until = self.shared.recorder.now() + READY_WAIT;
        self.receive(connection, until)?;
        self.record(Event::Ready);
        let mut address = self.address.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(current) = address.as_mut().filter(|current| **current == gateway) {
            current.is_ready = true;
        }
        Ok(())
    }

    /// Sends batches of requests until the connection ends or the client closes it.
    fn send_batches(&mut self, connection: &mut ClientConnection) -> Stop {
        loop {
            if self.shared.is_over() {
                return Stop::Close;
            }
            let batch = self.batch();
            if let Err(stop) = self.run_batch(connection, batch) {
                return stop;
            }
            let pause = Duration::from_millis(self.random.random_range(1..60));
            thread::sleep(pause);
        }
    }

    /// Returns the next requests: usually one, sometimes several.
    fn batch(&mut self) -> Vec<RequestText> {
        let is_pipelined = self.plan.has_irregular_clients && self.random.random_bool(0.1);
        let count = if is_pipelined {
            self.random.random_range(2..=MAX_PIPELINED)
        } else {
            1
        };
        (0..count).map(|_| self.next_request()).collect()
    }

    /// Creates a request.
    fn next_request(&mut self) -> RequestText {
        self.sent += 1;
        let id = format!("{:04x}{:04x}{:08x}", self.gateway, self.number, self.sent);
        let longest = self.plan.longest_timeout_ms;
        let timeout_ms = self.random.random_range(MIN_TIMEOUT_MS..=longest);
        RequestText {
            id,
            is_write: self.random.random_bool(0.3),
            timeout: Duration::from_millis(timeout_ms),
            shard: self.random.random_range(0..NODE_COUNT),
            hosts: self.plan.gateways,
        }
    }

    /// Sends requests and waits for their replies, or leaves early.
    fn run_batch(
        &mut self,
        connection: &mut ClientConnection,
        batch: Vec<RequestText>,
    ) -> Result<(), Stop> {
        let mut pending = VecDeque::new();
        let mut written = Ok(());
        for request in batch {
            written = self.write_request(connection, &request);
            if written.is_err() {
                // Replies may have arrived before the connection ended.
                break;
            }
            pending.push_back((request, self.shared.recorder.now()));
        }
        if self.plan.has_irregular_clients && self.random.random_bool(0.05) {
            thread::sleep(Duration::from_millis(self.random.random_range(0..80)));
            return Err(Stop::Close);
        }
        while let Some((request, sent_at)) = pending.pop_front() {
            let until = sent_at + request.timeout + EXTRA_WAIT;
            let reply = self.receive(connection, until)?;
            self.record_reply(&reply, &request);
        }
        written
    }

    /// Writes a request, sometimes in pieces, and records when its last byte is written.
    fn write_request(
        &mut self,
        connection: &mut ClientConnection,
        request: &RequestText,
    ) -> Result<(), Stop> {
        let text = request.encode();
        let is_split = self.plan.has_irregular_clients && self.random.random_bool(0.1);
        let split_at = if is_split {
            self.random.random_range(1..text.len())
        } else {
            0
        };
        let (first, last) = text.as_bytes().split_at(split_at);
        if is_split {
            connection.write(first)?;
            let pause = Duration::from_millis(self.random.random_range(1..300));
            let until = self.shared.recorder.now() + pause;
            self.receive_while_waiting(connection, until)?;
        }
        connection.write(last)?;
        self.record(Event::RequestSent(SentRequest {
            connection: connection.id,
            request: request.id.clone(),
            is_idempotent: !request.is_write,
            timeout: request.timeout,
        }));
        Ok(())
    }

    /// Waits for the next reply, until a time of the run.
    fn receive(
        &self,
        connection: &mut ClientConnection,
        until: Duration,
    ) -> Result<ReceivedReply, Stop> {
        loop {
            if let Some(reply) = connection.received.pop_front() {
                return Ok(reply);
            }
            if self.read_once(connection, until)?.is_break() {
                return Err(Stop::Close);
            }
        }
    }

    /// Waits until a time of the run, and keeps the replies that arrive meanwhile.
    fn receive_while_waiting(
        &self,
        connection: &mut ClientConnection,
        until: Duration,
    ) -> Result<(), Stop> {
        while self.read_once(connection, until)?.is_continue() {}
        Ok(())
    }

    /// Reads what arrives, at most until a time of the run, and keeps the complete replies with
    /// their time. Returns `Break` once the time has come.
    fn read_once(
        &self,
        connection: &mut ClientConnection,
        until: Duration,
    ) -> Result<ControlFlow<()>, Stop> {
        let now = self.shared.recorder.now();
        if now >= until {
            return Ok(ControlFlow::Break(()));
        }
        let set = connection.stream.set_read_timeout(Some(until - now));
        set.map_err(|_| Stop::Ended)?;
        let mut bytes = [0; 4 << 10];
        match connection.stream.read(&mut bytes) {
            Ok(0) => return Err(Stop::Ended),
            Ok(count) => {
                let received_at = self.shared.recorder.now();
                connection.decoder.feed(&bytes[..count], received_at);
                while let Some((value, _)) = connection.decoder.next() {
                    let reply = ReceivedReply { value, received_at };
                    connection.received.push_back(reply);
                }
            }
            Err(error) if is_timeout(&error) => {}
            Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
            Err(_) => return Err(Stop::Ended),
        }
        Ok(ControlFlow::Continue(()))
    }
}

impl ClientConnection {
    /// Writes bytes.
    fn write(&mut self, bytes: &[u8]) -> Result<(), Stop> {
        self.stream.write_all(bytes).map_err(|_| Stop::Ended)
    }
}

/// Returns what a reply is for a request.
fn reply_kind(value: &Value, request: &str) -> ReplyKind {
    let content = match value {
        Value::Array(items) => items.first(),
        other => Some(other),
    };
    match content {
        Some(Value::Bulk(Some(text))) if *text == value_for(request) => ReplyKind::Served,
        Some(Value::Bulk(Some(_))) => ReplyKind::WrongValue,
        Some(Value::Line(line)) if line.starts_with("-BUSY") => ReplyKind::Rejected,
        _ => ReplyKind::Failed,
    }
}
