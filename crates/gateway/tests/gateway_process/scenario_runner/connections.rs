//! The connections of one peer, each read by a thread of its own.

use super::message::{decode_message, Message, Protocol};
use crate::harness::connection::ConnectionEnd;
use std::io::{Read, Write};
use std::net::{Shutdown, TcpStream};
use std::sync::mpsc::Sender;
use std::sync::{Arc, Mutex};

/// How many bytes a thread reads at once.
const READ_BYTES: usize = 4096;

/// What a thread saw on a connection.
pub struct ConnectionEvent {
    /// The number of the connection among its peer's.
    pub connection: usize,
    /// What happened on it.
    pub kind: ConnectionEventKind,
}

/// What happened on a connection.
pub enum ConnectionEventKind {
    /// A complete message was received.
    Received(Message),
    /// The gateway has ended the connection.
    Ended(ConnectionEnd),
}

/// The connections of one peer, in the order in which they were opened.
#[derive(Clone, Default)]
pub struct Connections(Arc<Mutex<Vec<TcpStream>>>);

impl Connections {
    /// Adds a connection and starts a thread that reads complete messages from it.
    pub fn add(&self, stream: TcpStream, protocol: Protocol, events: Sender<ConnectionEvent>) {
        let mut streams = self.0.lock().expect("no thread panics with the lock");
        let connection = streams.len();
        streams.push(stream.try_clone().expect("a descriptor"));
        std::thread::spawn(move || read_messages(connection, stream, protocol, &events));
    }

    /// How many connections were opened.
    pub fn count(&self) -> usize {
        self.0.lock().expect("no thread panics with the lock").len()
    }

    /// Sends bytes on one of the connections.
    pub fn send(&self, connection: usize, bytes: &[u8]) {
        let mut streams = self.0.lock().expect("no thread panics with the lock");
        streams[connection]
            .write_all(bytes)
            .expect("the gateway reads");
    }

    /// Closes all connections in order.
    pub fn close_all(&self) {
        let streams = self.0.lock().expect("no thread panics with the lock");
        for stream in streams.iter() {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }
}

/// Reads from a connection until it ends, and reports its messages and its end.
fn read_messages(
    connection: usize,
    mut stream: TcpStream,
    protocol: Protocol,
    events: &Sender<ConnectionEvent>,
) {
    let report = |kind| {
        let _ = events.send(ConnectionEvent { connection, kind });
    };
    let mut input = Vec::new();
    let mut bytes = [0; READ_BYTES];
    loop {
        let count = match stream.read(&mut bytes) {
            Ok(0) => return report(ConnectionEventKind::Ended(ConnectionEnd::Closed)),
            Err(_) => return report(ConnectionEventKind::Ended(ConnectionEnd::Reset)),
            Ok(count) => count,
        };
        input.extend_from_slice(&bytes[..count]);
        while let Some(decoded) = decode_message(&input, protocol) {
            input.drain(..decoded.length);
            report(ConnectionEventKind::Received(decoded.message));
        }
    }
}
