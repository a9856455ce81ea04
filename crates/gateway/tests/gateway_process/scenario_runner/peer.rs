//! The gateway's peers in a scenario, which exchange messages with it: clients, stand-in nodes,
//! discovery and the console.

use super::connections::{ConnectionEvent, ConnectionEventKind, Connections};
use super::error::ScenarioError;
use super::masking::mask_variable_words;
use super::message::{Message, Protocol};
use crate::harness::connection::ConnectionEnd;
use std::collections::VecDeque;
use std::io::{BufRead, BufReader};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::ChildStdout;
use std::sync::mpsc::{channel, Receiver};
use std::time::Duration;

/// How long a scenario waits for the next message or the end of a connection.
const RECEIVE_TIMEOUT: Duration = Duration::from_secs(8);

/// A request that a node has received and not answered.
struct PendingRequest {
    connection: usize,
    request_id: u32,
}

/// Where a peer's next message goes.
pub struct ReplyAddress {
    /// The number of the connection among the peer's.
    pub connection: usize,
    /// The id that the message carries, where the protocol has one.
    pub request_id: u32,
}

/// On which side of a connection the peer stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Role {
    /// It has one connection, which it opened.
    Client,
    /// It listens; the gateway connects.
    Server { address: SocketAddr },
}

/// A peer that exchanges messages with the gateway.
pub struct Peer {
    /// What it speaks.
    pub protocol: Protocol,
    role: Role,
    events: Receiver<ConnectionEvent>,
    /// Messages that were received while the test waited for the end of a connection: the threads
    /// that read two connections report in any order.
    deferred: VecDeque<ConnectionEvent>,
    connections: Connections,
    pending_requests: VecDeque<PendingRequest>,
    last_request_id: u32,
}

impl Peer {
    fn new(
        protocol: Protocol,
        role: Role,
        events: Receiver<ConnectionEvent>,
        connections: Connections,
    ) -> Self {
        Self {
            protocol,
            role,
            events,
            deferred: VecDeque::new(),
            connections,
            pending_requests: VecDeque::new(),
            last_request_id: 1,
        }
    }

    /// A peer that listens at a free port.
    pub fn listen(protocol: Protocol) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("it listens");
        let (sender, events) = channel();
        let connections = Connections::default();
        let accepted = connections.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                accepted.add(stream, protocol, sender.clone());
            }
        });
        Self::new(protocol, Role::Server { address }, events, connections)
    }

    /// A client that connects to the gateway.
    pub fn connect(protocol: Protocol, gateway: SocketAddr) -> Self {
        let (sender, events) = channel();
        let connections = Connections::default();
        let stream = TcpStream::connect(gateway).expect("the gateway listens");
        connections.add(stream, protocol, sender);
        Self::new(protocol, Role::Client, events, connections)
    }

    /// The reader of the gateway's console.
    pub fn console(output: ChildStdout) -> Self {
        let (sender, events) = channel();
        std::thread::spawn(move || {
            for text in BufReader::new(output).lines().map_while(Result::ok) {
                let message = Message {
                    text,
                    request_id: 0,
                };
                let kind = ConnectionEventKind::Received(message);
                let _ = sender.send(ConnectionEvent {
                    connection: 0,
                    kind,
                });
            }
        });
        Self::new(
            Protocol::Lines,
            Role::Client,
            events,
            Connections::default(),
        )
    }

    /// Where a peer that listens does so.
    pub fn address(&self) -> SocketAddr {
        match self.role {
            Role::Server { address } => address,
            Role::Client => panic!("a client does not listen"),
        }
    }

    fn next_event(&self) -> Result<ConnectionEvent, ScenarioError> {
        self.events
            .recv_timeout(RECEIVE_TIMEOUT)
            .map_err(|_| ScenarioError::NothingReceived)
    }

    /// Waits for the next message. Ends of a listening peer's connections are skipped.
    pub fn receive(&mut self) -> Result<String, ScenarioError> {
        loop {
            let event = match self.deferred.pop_front() {
                Some(event) => event,
                None => self.next_event()?,
            };
            match event.kind {
                ConnectionEventKind::Received(message) => {
                    if self.role != Role::Client {
                        let request_id = message.request_id;
                        self.pending_requests.push_back(PendingRequest {
                            connection: event.connection,
                            request_id,
                        });
                    }
                    return Ok(mask_variable_words(&message.text));
                }
                ConnectionEventKind::Ended(_) if self.role == Role::Client => {
                    return Err(ScenarioError::ConnectionClosed)
                }
                ConnectionEventKind::Ended(_) => {}
            }
        }
    }

    /// Waits for the end of a connection. A listening peer may receive messages before, which
    /// stay for [`Self::receive`]; how its connection ends makes no difference.
    pub fn wait_for_end(&mut self) -> Result<ConnectionEnd, ScenarioError> {
        loop {
            let event = self.next_event()?;
            match event.kind {
                ConnectionEventKind::Ended(end) => {
                    self.pending_requests
                        .retain(|request| request.connection != event.connection);
                    return match self.role {
                        // What a reset overtakes is lost to a client that reads late.
                        Role::Client => Ok(end),
                        Role::Server { .. } => Ok(ConnectionEnd::Closed),
                    };
                }
                ConnectionEventKind::Received(message) if self.role == Role::Client => {
                    return Err(ScenarioError::UnexpectedMessage(message.text))
                }
                ConnectionEventKind::Received(_) => self.deferred.push_back(event),
            }
        }
    }

    /// As a node: takes the oldest request that has not been answered.
    pub fn take_pending_request(&mut self) -> ReplyAddress {
        let request = self
            .pending_requests
            .pop_front()
            .expect("a request to answer");
        ReplyAddress {
            connection: request.connection,
            request_id: request.request_id,
        }
    }

    /// As a node: the connection opened last, for a response to no request.
    pub fn last_connection(&self) -> ReplyAddress {
        let connection = self
            .connections
            .count()
            .checked_sub(1)
            .expect("a connection");
        ReplyAddress {
            connection,
            request_id: 0,
        }
    }

    /// As a client: its connection, with an id for the next request.
    pub fn next_request(&mut self) -> ReplyAddress {
        self.last_request_id += 1;
        ReplyAddress {
            connection: 0,
            request_id: self.last_request_id,
        }
    }

    /// Sends bytes on one of its connections.
    pub fn send(&self, connection: usize, bytes: &[u8]) {
        self.connections.send(connection, bytes);
    }

    /// Closes all its connections; what it has not answered stays so.
    pub fn close_connections(&mut self) {
        self.pending_requests.clear();
        self.connections.close_all();
    }
}
