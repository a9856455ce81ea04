//! Fake storage nodes.

use super::connection::Connection;
use super::discovery::{encode_endpoint_entry, EndpointEntry};
use super::requests::encode_value_response;
use std::io::ErrorKind;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::AtomicUsize;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

/// A listening storage node. The test accepts the gateway's connections and responds on them.
pub struct FakeStorageNode {
    name: &'static str,
    shard: u64,
    listener: TcpListener,
}

/// The connections that fill a node's accept queue (see [`FakeStorageNode::fill_accept_queue`]).
pub struct FilledAcceptQueue(Vec<TcpStream>);

impl FakeStorageNode {
    /// Starts a node that listens on a free port.
    pub fn new(name: &'static str, shard: u64) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port should be free");
        Self {
            name,
            shard,
            listener,
        }
    }

    fn address(&self) -> SocketAddr {
        self.listener
            .local_addr()
            .expect("the node should be listening")
    }

    /// Accepts the gateway's next connection.
    pub fn accept(&self) -> Connection {
        Connection::accept(&self.listener)
    }

    /// Accepts the gateway's next connection and checks that its first request has this id.
    #[track_caller]
    pub fn accept_request(&self, id: &str) -> Connection {
        let mut connection = self.accept();
        connection.expect_request(id);
        connection
    }

    /// Responds to all requests with this value, on threads that end with the test process. Returns
    /// the number of requests so far.
    pub fn respond_in_background(&self, value: &str) -> Arc<AtomicUsize> {
        let listener = self
            .listener
            .try_clone()
            .expect("the listener should be usable by a thread");
        let response = encode_value_response(value);
        let count = Arc::new(AtomicUsize::new(0));
        let total = Arc::clone(&count);
        thread::spawn(move || loop {
            let mut connection = Connection::accept_at_any_time(&listener);
            let (response, count) = (response.clone(), Arc::clone(&count));
            thread::spawn(move || connection.respond_until_closed(&response, &count));
        });
        total
    }

    /// Checks that the gateway has opened no connection that the test has not accepted.
    #[track_caller]
    pub fn expect_no_further_connection(&self) {
        self.listener
            .set_nonblocking(true)
            .expect("setting the blocking mode should succeed");
        let accepted = self.listener.accept();
        self.listener
            .set_nonblocking(false)
            .expect("setting the blocking mode should succeed");
        let none = accepted.is_err_and(|error| error.kind() == ErrorKind::WouldBlock);
        assert!(
            none,
            "the gateway opened an unexpected connection to node {}",
            self.name
        );
    }

    /// Fills the accept queue. Until [`Self::empty_accept_queue`], no connection to the node is
    /// established, not even one that the gateway is already opening; the system retries it later.
    pub fn fill_accept_queue(&self) -> FilledAcceptQueue {
        rustix::net::listen(&self.listener, 0).expect("changing the backlog should succeed");
        let address = self.address();
        let mut queued =
            vec![TcpStream::connect(address)
                .expect("the first connection should fit into the queue")];
        // A queue with a backlog of 0 holds one connection. If the system allows more, use them up.
        while let Ok(stream) = TcpStream::connect_timeout(&address, Duration::from_millis(100)) {
            queued.push(stream);
        }
        FilledAcceptQueue(queued)
    }

    /// Accepts the connections that filled the queue, so that new ones are established again.
    pub fn empty_accept_queue(&self, queue: &FilledAcceptQueue) {
        let queued: Vec<SocketAddr> = queue
            .0
            .iter()
            .map(|stream| stream.local_addr().expect("the socket should be connected"))
            .collect();
        for _ in &queued {
            let (_, peer) = self
                .listener
                .accept()
                .expect("a connection should be in the queue");
            assert!(queued.contains(&peer), "the queue was not full");
        }
        rustix::net::listen(&self.listener, 16).expect("changing the backlog should succeed");
    }

    /// The node's endpoint list entry with this status.
    pub fn entry(&self, status: &str) -> String {
        encode_endpoint_entry(&EndpointEntry {
            name: self.name,
            address: self.address(),
            shard: self.shard,
            status,
        })
    }

    /// The node's endpoint list entry while it is in service.
    pub fn in_service_entry(&self) -> String {
        self.entry("in_service")
    }

    /// The node's endpoint list entry while it is draining (`terminating` on the wire).
    pub fn draining_entry(&self) -> String {
        self.entry("terminating")
    }

    /// The node's endpoint list entry after its removal (`terminated` on the wire).
    pub fn removed_entry(&self) -> String {
        self.entry("terminated")
    }
}
