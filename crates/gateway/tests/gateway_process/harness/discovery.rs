//! A stand-in discovery service, and the messages that it sends.

use super::connection::Connection;
use std::net::{SocketAddr, TcpListener};

/// The head of a response to a watch.
pub const CHUNKED_RESPONSE_HEAD: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

/// One chunk of a response in chunked transfer encoding.
pub fn encode_chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}

/// What an endpoint list says of one storage node.
pub struct EndpointEntry<'a> {
    /// The node's name.
    pub name: &'a str,
    /// Where it listens.
    pub address: SocketAddr,
    /// The shard that it stores.
    pub shard: u64,
    /// `in_service`, `terminating` or `terminated`.
    pub status: &'a str,
}

/// An entry as JSON.
pub fn endpoint_entry(entry: &EndpointEntry) -> String {
    let EndpointEntry {
        name,
        address,
        shard,
        status,
    } = entry;
    // A message of a watch is one line, so an entry has no line break.
    let place = format!(r#""address":"{address}","zone":"a","group":{shard}"#);
    format!(r#"{{"name":"{name}",{place},"status":"{status}","since_ms":0}}"#)
}

/// Whether a message carries all endpoints or only changed ones.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UpdateKind {
    /// The whole list.
    Snapshot,
    /// The entries that changed.
    Delta,
}

/// An endpoint list, or changes to one, as JSON.
pub fn endpoint_list(index: u64, kind: UpdateKind, entries: &[String]) -> String {
    let snapshot = kind == UpdateKind::Snapshot;
    format!(
        r#"{{"index":{index},"snapshot":{snapshot},"endpoints":[{}]}}"#,
        entries.join(",")
    )
}

/// A message of a watch: a list or a change as one line.
pub fn watch_event(index: u64, kind: UpdateKind, entries: &[String]) -> String {
    endpoint_list(index, kind, entries) + "\n"
}

/// A change as it is sent on an open watch.
pub fn delta_chunk(index: u64, entries: &[String]) -> String {
    encode_chunk(&watch_event(index, UpdateKind::Delta, entries))
}

/// A watch that the gateway has just opened.
pub struct OpenedWatch {
    /// Its connection.
    pub connection: Connection,
    /// The first line of its request.
    pub request_line: String,
}

/// A discovery service, which listens except between [`Self::stop_listening`] and
/// [`Self::listen_again`].
pub struct DiscoveryService {
    listener: Option<TcpListener>,
    address: SocketAddr,
}

impl DiscoveryService {
    /// Listens at a free port.
    pub fn new() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("it listens");
        Self {
            listener: Some(listener),
            address,
        }
    }

    /// A service that refuses connections until [`Self::listen_again`].
    pub fn new_stopped() -> Self {
        let mut service = Self::new();
        service.stop_listening();
        service
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Refuses connections from now on.
    pub fn stop_listening(&mut self) {
        self.listener = None;
    }

    /// Accepts connections again, at the same address.
    pub fn listen_again(&mut self) {
        self.listener = Some(TcpListener::bind(self.address).expect("its own port"));
    }

    /// Accepts the next watch.
    pub fn accept_watch(&self) -> OpenedWatch {
        let mut connection = Connection::accept(self.listener.as_ref().expect("it listens"));
        let request_line = connection.receive_request_line();
        OpenedWatch {
            connection,
            request_line,
        }
    }

    /// Accepts the next watch, which must ask for the events after this index.
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

    /// Accepts the next watch and sends the whole list on it.
    pub fn accept_watch_and_send(&self, index: u64, entries: &[String]) -> Connection {
        let mut connection = self.accept_watch().connection;
        let list = watch_event(index, UpdateKind::Snapshot, entries);
        connection.send(CHUNKED_RESPONSE_HEAD.to_owned() + &encode_chunk(&list));
        connection
    }
}
