//! The connections of one peer. A thread per connection reads complete messages from it.

use super::message::{decode_message, Message, Protocol};
use crate::harness::connection::ConnectionEnd;
use std::io::{Read, Write};
use std::net::{Shutdown, TcpStream};
use std::sync::mpsc::Sender;
use std::sync::{Arc, Mutex};

/// A thread reads at most this many bytes at once.
const READ_BYTES: usize = 4096;

/// An event that a reading thread reports.
pub struct ConnectionEvent {
    /// The index of the connection among the connections of its peer.
    pub connection: usize,
    /// The kind of the event.
    pub kind: ConnectionEventKind,
}

/// The kind of an event on a connection.
pub enum ConnectionEventKind {
    /// A complete message was received.
    Received(Message),
    /// The gateway has ended the connection.
    Ended(ConnectionEnd),
}

/// The connections of one peer, in the order in which they were established.
#[derive(Clone, Default)]
pub struct Connections(Arc<Mutex<Vec<TcpStream>>>);

impl Connections {
    /// Adds a connection and starts the thread that reads from it.
    pub fn add(&self, stream: TcpStream, protocol: Protocol, events: Sender<ConnectionEvent>) {
        let mut streams = self
            .0
            .lock()
            .expect("no thread should panic while it holds the lock");
        let connection = streams.len();
        streams.push(
            stream
                .try_clone()
                .expect("a file descriptor should be free"),
        );
        std::thread::spawn(move || read_messages(connection, stream, protocol, &events));
    }

    /// The number of connections so far; closed ones are included.
    pub fn count(&self) -> usize {
        self.0
            .lock()
            .expect("no thread should panic while it holds the lock")
            .len()
    }

    /// Sends bytes on the connection with this index.
    pub fn send(&self, connection: usize, bytes: &[u8]) {
        let mut streams = self
            .0
            .lock()
            .expect("no thread should panic while it holds the lock");
        streams[connection]
            .write_all(bytes)
            .expect("the connection should be open");
    }

    /// Closes all connections with a FIN.
    pub fn close_all(&self) {
        let streams = self
            .0
            .lock()
            .expect("no thread should panic while it holds the lock");
        for stream in streams.iter() {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }
}

/// Reads from a connection until it ends, and reports its messages and how it ended.
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
