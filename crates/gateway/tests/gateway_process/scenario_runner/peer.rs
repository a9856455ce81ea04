//! The peers that exchange messages with the gateway in a scenario: clients, fake nodes, discovery
//! and the console.

use super::connections::{ConnectionEvent, ConnectionEventKind, Connections};
use super::error::ScenarioError;
use super::masking::mask_message;
use super::message::{Message, Protocol};
use crate::harness::connection::ConnectionEnd;
use std::collections::VecDeque;
use std::io::{BufRead, BufReader};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::ChildStdout;
use std::sync::mpsc::{channel, Receiver};
use std::time::Duration;

/// A statement fails if the expected message or connection end does not occur within this time.
const RECEIVE_TIMEOUT: Duration = Duration::from_secs(8);

/// A request to which a fake node has not responded.
struct UnansweredRequest {
    connection: usize,
    request_id: u32,
}

/// The connection and the request id for a message that a peer sends.
pub struct SendTarget {
    /// The index of the connection among the connections of the peer.
    pub connection: usize,
    /// The request id of the message; ignored if the protocol has none.
    pub request_id: u32,
}

/// Which side opens the connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Role {
    /// The peer does not listen: a client with one connection, or the console, which has none.
    Client,
    /// The peer listens, and the gateway connects to it.
    Server { address: SocketAddr },
}

/// A peer that exchanges messages with the gateway.
pub struct Peer {
    /// The protocol of its connections.
    pub protocol: Protocol,
    role: Role,
    events: Receiver<ConnectionEvent>,
    /// Messages that were received during [`Self::wait_for_close`]. Each connection has its own
    /// thread, so a message from one connection can be reported before the end of another.
    deferred: VecDeque<ConnectionEvent>,
    connections: Connections,
    unanswered_requests: VecDeque<UnansweredRequest>,
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
            unanswered_requests: VecDeque::new(),
            last_request_id: 1,
        }
    }

    /// Starts a peer that listens on a free port and accepts all connections.
    pub fn listen(protocol: Protocol) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port should be free");
        let address = listener.local_addr().expect("the peer should be listening");
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

    /// Connects a client to the gateway.
    pub fn connect(protocol: Protocol, gateway: SocketAddr) -> Self {
        let (sender, events) = channel();
        let connections = Connections::default();
        let stream = TcpStream::connect(gateway).expect("the gateway should be listening");
        connections.add(stream, protocol, sender);
        Self::new(protocol, Role::Client, events, connections)
    }

    /// Creates the peer that reads the output of the gateway's console.
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

    /// The address of a listening peer; panics for a client.
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

    /// Waits for the next message. If the peer listens, skips ends of its connections.
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
                        self.unanswered_requests.push_back(UnansweredRequest {
                            connection: event.connection,
                            request_id,
                        });
                    }
                    return Ok(mask_message(&message.text));
                }
                ConnectionEventKind::Ended(_) if self.role == Role::Client => {
                    return Err(ScenarioError::ConnectionClosed)
                }
                ConnectionEventKind::Ended(_) => {}
            }
        }
    }

    /// Waits for the end of a connection. For a listening peer, keeps messages received before it
    /// for [`Self::receive`], and reports a reset as [`ConnectionEnd::Closed`].
    pub fn wait_for_close(&mut self) -> Result<ConnectionEnd, ScenarioError> {
        loop {
            let event = self.next_event()?;
            match event.kind {
                ConnectionEventKind::Ended(end) => {
                    self.unanswered_requests
                        .retain(|request| request.connection != event.connection);
                    return match self.role {
                        // A client can lose a response because of a reset, so resets are reported.
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

    /// As a node: removes the oldest request without a response and returns where to respond.
    pub fn take_oldest_request(&mut self) -> SendTarget {
        let request = self
            .unanswered_requests
            .pop_front()
            .expect("a request should be without a response");
        SendTarget {
            connection: request.connection,
            request_id: request.request_id,
        }
    }

    /// The connection that was established last, for a message that answers no request.
    pub fn newest_connection(&self) -> SendTarget {
        let connection = self
            .connections
            .count()
            .checked_sub(1)
            .expect("a connection should be established");
        SendTarget {
            connection,
            request_id: 0,
        }
    }

    /// As a client: where to send the next request, with a new request id.
    pub fn next_request_target(&mut self) -> SendTarget {
        self.last_request_id += 1;
        SendTarget {
            connection: 0,
            request_id: self.last_request_id,
        }
    }

    /// Sends bytes on the connection with this index.
    pub fn send(&self, connection: usize, bytes: &[u8]) {
        self.connections.send(connection, bytes);
    }

    /// Closes all connections and discards the requests without a response.
    pub fn close_connections(&mut self) {
        self.unanswered_requests.clear();
        self.connections.close_all();
    }
}
