//! A fake discovery service, and the encoding of its updates of the endpoint list.

use super::connection::Connection;
use std::net::{SocketAddr, TcpListener};

/// The head of the HTTP response to a watch request.
pub const CHUNKED_RESPONSE_HEAD: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

/// Encodes text as one chunk of a response with chunked transfer encoding.
pub fn encode_chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}

/// The entry of one storage node in an endpoint list.
pub struct EndpointEntry<'a> {
    /// The node's name.
    pub name: &'a str,
    /// The address on which the node listens.
    pub address: SocketAddr,
    /// The shard that the node stores.
    pub shard: u64,
    /// `in_service`, `terminating` (draining) or `terminated` (removed).
    pub status: &'a str,
}

/// Encodes an entry as JSON.
pub fn encode_endpoint_entry(entry: &EndpointEntry) -> String {
    let EndpointEntry {
        name,
        address,
        shard,
        status,
    } = entry;
    // An update on a watch is a single line, so an entry contains no line break.
    let place = format!(r#""address":"{address}","zone":"a","group":{shard}"#);
    format!(r#"{{"name":"{name}",{place},"status":"{status}","since_ms":0}}"#)
}

/// The kind of an update of the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UpdateKind {
    /// All endpoints.
    Snapshot,
    /// Only the changed endpoints.
    Delta,
}

/// Encodes an update of the endpoint list as JSON.
pub fn encode_update(index: u64, kind: UpdateKind, entries: &[String]) -> String {
    let snapshot = kind == UpdateKind::Snapshot;
    format!(
        r#"{{"index":{index},"snapshot":{snapshot},"endpoints":[{}]}}"#,
        entries.join(",")
    )
}

/// Encodes an update as one line, as it is sent on a watch.
pub fn encode_update_line(index: u64, kind: UpdateKind, entries: &[String]) -> String {
    encode_update(index, kind, entries) + "\n"
}

/// Encodes a delta as one chunk of the response to a watch.
pub fn encode_delta_chunk(index: u64, entries: &[String]) -> String {
    encode_chunk(&encode_update_line(index, UpdateKind::Delta, entries))
}

/// A watch that the test has accepted from the gateway.
pub struct OpenedWatch {
    /// The connection of the watch.
    pub connection: Connection,
    /// The request line of the watch request.
    pub request_line: String,
}

/// A fake discovery service. Between [`Self::stop_listening`] and [`Self::listen_again`] it refuses
/// connections.
pub struct FakeDiscovery {
    listener: Option<TcpListener>,
    address: SocketAddr,
}

impl FakeDiscovery {
    /// Starts a service that listens on a free port.
    pub fn new() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port should be free");
        let address = listener
            .local_addr()
            .expect("the service should be listening");
        Self {
            listener: Some(listener),
            address,
        }
    }

    /// Creates a service that refuses connections until [`Self::listen_again`].
    pub fn new_stopped() -> Self {
        let mut service = Self::new();
        service.stop_listening();
        service
    }

    /// The address on which the service listens; it stays the same while it refuses connections.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Closes the listener: new connections are refused.
    pub fn stop_listening(&mut self) {
        self.listener = None;
    }

    /// Listens again on the same address.
    pub fn listen_again(&mut self) {
        self.listener =
            Some(TcpListener::bind(self.address).expect("the former port should be free"));
    }

    /// Accepts the next watch and reads its request.
    pub fn accept_watch(&self) -> OpenedWatch {
        let mut connection = Connection::accept(
            self.listener
                .as_ref()
                .expect("the service should be listening"),
        );
        let request_line = connection.receive_request_line();
        OpenedWatch {
            connection,
            request_line,
        }
    }

    /// Accepts the next watch and checks that it asks for the updates after this index.
    #[track_caller]
    pub fn accept_watch_from(&self, index: u64) -> Connection {
        let OpenedWatch {
            connection,
            request_line,
        } = self.accept_watch();
        let wanted = format!("from={index}");
        assert!(request_line.contains(&wanted), "{request_line}");
        connection
    }

    /// Accepts the next watch and sends a snapshot on it.
    pub fn accept_watch_and_send(&self, index: u64, entries: &[String]) -> Connection {
        let mut connection = self.accept_watch().connection;
        let list = encode_update_line(index, UpdateKind::Snapshot, entries);
        connection.send(CHUNKED_RESPONSE_HEAD.to_owned() + &encode_chunk(&list));
        connection
    }
}
