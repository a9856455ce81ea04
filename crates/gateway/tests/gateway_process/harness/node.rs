//! Stand-in storage nodes.

use super::connection::Connection;
use super::discovery::{endpoint_entry, EndpointEntry};
use std::io::ErrorKind;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::Duration;

/// A storage node that listens; the test accepts its connections and answers on them.
pub struct StorageNode {
    name: &'static str,
    shard: u64,
    listener: TcpListener,
}

/// The connections that fill a node's accept queue (see [`StorageNode::fill_accept_queue`]).
pub struct FilledAcceptQueue(Vec<TcpStream>);

impl StorageNode {
    /// Listens at a free port.
    pub fn new(name: &'static str, shard: u64) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        Self {
            name,
            shard,
            listener,
        }
    }

    fn address(&self) -> SocketAddr {
        self.listener.local_addr().expect("the node listens")
    }

    /// Accepts the gateway's next connection.
    pub fn accept(&self) -> Connection {
        Connection::accept(&self.listener)
    }

    /// Accepts the gateway's next connection, on which the request with this id must come first.
    #[track_caller]
    pub fn accept_request(&self, id: &str) -> Connection {
        let mut connection = self.accept();
        connection.expect_request(id);
        connection
    }

    /// The gateway has opened no connection but those accepted.
    #[track_caller]
    pub fn expect_no_further_connection(&self) {
        self.listener
            .set_nonblocking(true)
            .expect("a socket option");
        let accepted = self.listener.accept();
        self.listener
            .set_nonblocking(false)
            .expect("a socket option");
        let none = accepted.is_err_and(|error| error.kind() == ErrorKind::WouldBlock);
        assert!(
            none,
            "node {} has a connection that the test did not expect",
            self.name
        );
    }

    /// Keeps every new connection from being established, also one that has already been started,
    /// until the queue is emptied; the system then tries again.
    pub fn fill_accept_queue(&self) -> FilledAcceptQueue {
        rustix::net::listen(&self.listener, 0).expect("a listening socket");
        let address = self.address();
        let mut queued =
            vec![TcpStream::connect(address).expect("an empty queue takes one connection")];
        // A queue of length zero takes one connection; if the system grants more, fill these too.
        while let Ok(stream) = TcpStream::connect_timeout(&address, Duration::from_millis(100)) {
            queued.push(stream);
        }
        FilledAcceptQueue(queued)
    }

    /// Removes the connections that filled the queue, and takes new ones again.
    pub fn empty_accept_queue(&self, queue: &FilledAcceptQueue) {
        let queued: Vec<SocketAddr> = queue
            .0
            .iter()
            .map(|stream| stream.local_addr().expect("a connected socket"))
            .collect();
        for _ in &queued {
            let (_, peer) = self.listener.accept().expect("a connection of the queue");
            assert!(queued.contains(&peer), "the queue was not full");
        }
        rustix::net::listen(&self.listener, 16).expect("a listening socket");
    }

    /// The node's entry in an endpoint list.
    pub fn entry(&self, status: &str) -> String {
        endpoint_entry(&EndpointEntry {
            name: self.name,
            address: self.address(),
            shard: self.shard,
            status,
        })
    }

    /// Its entry when it serves.
    pub fn in_service(&self) -> String {
        self.entry("in_service")
    }

    /// Its entry when it drains.
    pub fn terminating(&self) -> String {
        self.entry("terminating")
    }

    /// Its entry when it has been removed.
    pub fn terminated(&self) -> String {
        self.entry("terminated")
    }
}
