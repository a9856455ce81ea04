//! The discovery service: one listener for each gateway, so that a watch is known by its port.

use super::storage_node::StorageNode;
use super::wire::{endpoint_entry, list_update};
use super::Shared;
use crate::record::{Event, GatewayIndex, NodeStatus};
use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::Duration;

/// How often a heartbeat is written on each watch.
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(2);
/// How long a watch request may take to arrive.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(500);
/// The head of the response to a watch request.
const RESPONSE_HEAD: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

/// A node in the endpoint list.
struct ListedNode {
    /// The name.
    name: String,
    /// The address.
    address: SocketAddr,
    /// The status.
    status: NodeStatus,
}

/// An open watch.
struct Watch {
    /// The gateway.
    gateway: GatewayIndex,
    /// The connection.
    stream: TcpStream,
    /// Whether nothing is written any more.
    is_silent: bool,
}

/// The endpoint list and the watches.
struct State {
    /// Version of the list.
    version: u64,
    /// The nodes; the position is the shard.
    nodes: Vec<ListedNode>,
    /// The open watches.
    watches: Vec<Watch>,
    /// The list as last written to each gateway.
    written: Vec<ListSnapshot>,
    /// Whether the service is down.
    is_down: bool,
}

/// A complete endpoint list.
#[derive(Clone, Debug)]
pub(super) struct ListSnapshot {
    /// The version.
    pub(super) version: u64,
    /// The entries.
    pub(super) entries: Vec<String>,
}

/// The discovery service.
#[derive(Clone)]
pub(super) struct Discovery {
    /// The state.
    state: Arc<Mutex<State>>,
    /// The address for each gateway.
    addresses: Arc<Vec<SocketAddr>>,
    /// The state of the run.
    shared: Shared,
}

impl Discovery {
    /// Starts the service with all nodes in service.
    pub(super) fn start(
        gateways: usize,
        nodes: &[StorageNode],
        shared: &Shared,
    ) -> io::Result<Discovery> {
        let listed = nodes.iter().map(|node| ListedNode {
            name: node.name.clone(),
            address: node.address,
            status: NodeStatus::InService,
        });
        let mut state = State {
            version: 1,
            nodes: listed.collect(),
            watches: Vec::new(),
            written: Vec::new(),
            is_down: false,
        };
        state.written = vec![state.snapshot(); gateways];
        let listeners = (0..gateways)
            .map(|_| TcpListener::bind("127.0.0.1:0"))
            .collect::<io::Result<Vec<_>>>()?;
        let addresses = listeners
            .iter()
            .map(TcpListener::local_addr)
            .collect::<io::Result<Vec<_>>>()?;
        let discovery = Discovery {
            state: Arc::new(Mutex::new(state)),
            addresses: Arc::new(addresses),
            shared: shared.clone(),
        };
        for (gateway, listener) in listeners.into_iter().enumerate() {
            let service = discovery.clone();
            thread::spawn(move || service.accept_watches(gateway, &listener));
        }
        let service = discovery.clone();
        thread::spawn(move || service.write_heartbeats());
        Ok(discovery)
    }

    /// Returns the address for a gateway.
    pub(super) fn address(&self, gateway: GatewayIndex) -> SocketAddr {
        self.addresses[gateway]
    }

    /// Returns the list as it was last written to a gateway.
    pub(super) fn written_to(&self, gateway: GatewayIndex) -> ListSnapshot {
        self.lock().written[gateway].clone()
    }

    /// Changes the status of a node, and writes the change to all watches.
    pub(super) fn set_status(&self, node: usize, status: NodeStatus) {
        let mut state = self.lock();
        if state.nodes[node].status == status {
            return;
        }
        state.version += 1;
        state.nodes[node].status = status;
        let name = state.nodes[node].name.clone();
        let changed = Event::ListChanged {
            node: name.clone(),
            status,
        };
        let now = self.shared.recorder.now();
        self.shared.recorder.add_at(now, None, changed);
        let update = list_update(state.version, false, &[state.entry(node)]) + "\n";
        let list = state.snapshot();
        let State {
            watches, written, ..
        } = &mut *state;
        for watch in watches {
            let write_began_at = self.shared.recorder.now();
            if watch.write_chunk(&update).is_ok() {
                written[watch.gateway] = list.clone();
                let event = Event::Notified {
                    node: name.clone(),
                    status,
                    write_began_at,
                };
                self.shared.recorder.add(watch.gateway, event);
            }
        }
    }

    /// Writes nothing more to the watches that are open now.
    pub(super) fn silence_watches(&self) {
        for watch in &mut self.lock().watches {
            watch.is_silent = true;
        }
    }

    /// Closes all open watches.
    pub(super) fn close_watches(&self) {
        for watch in self.lock().watches.drain(..) {
            let _ = watch.stream.shutdown(Shutdown::Both);
        }
    }

    /// Stops or starts the service.
    pub(super) fn set_down(&self, is_down: bool) {
        if is_down {
            self.close_watches();
        }
        self.lock().is_down = is_down;
        let event = if is_down {
            Event::DiscoveryDown
        } else {
            Event::DiscoveryUp
        };
        let now = self.shared.recorder.now();
        self.shared.recorder.add_at(now, None, event);
    }

    /// Locks the state.
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Accepts the watches of a gateway.
    fn accept_watches(&self, gateway: GatewayIndex, listener: &TcpListener) {
        for stream in listener.incoming().map_while(Result::ok) {
            if self.shared.is_over() {
                return;
            }
            let service = self.clone();
            // An error ends the watch; the gateway opens another one.
            thread::spawn(move || service.open_watch(gateway, stream));
        }
    }

    /// Reads the request of a watch and writes the complete list.
    fn open_watch(&self, gateway: GatewayIndex, mut stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(REQUEST_TIMEOUT))?;
        let mut request = Vec::new();
        let mut bytes = [0; 1 << 10];
        while !request.ends_with(b"\r\n\r\n") {
            let count = stream.read(&mut bytes)?;
            if count == 0 {
                return Ok(());
            }
            request.extend_from_slice(&bytes[..count]);
        }
        let mut state = self.lock();
        if state.is_down {
            return Ok(());
        }
        stream.write_all(RESPONSE_HEAD.as_bytes())?;
        let mut watch = Watch {
            gateway,
            stream,
            is_silent: false,
        };
        let list = state.snapshot();
        let write_began_at = self.shared.recorder.now();
        watch.write_chunk(&(list_update(list.version, true, &list.entries) + "\n"))?;
        for node in &state.nodes {
            let event = Event::Notified {
                node: node.name.clone(),
                status: node.status,
                write_began_at,
            };
            self.shared.recorder.add(gateway, event);
        }
        state.written[gateway] = list;
        state.watches.push(watch);
        Ok(())
    }

    /// Writes heartbeats until the run ends, and drops the watches that have ended.
    fn write_heartbeats(&self) {
        while !self.shared.is_over() {
            thread::sleep(HEARTBEAT_INTERVAL);
            let mut state = self.lock();
            state
                .watches
                .retain_mut(|watch| watch.is_silent || watch.write_chunk("\n").is_ok());
        }
    }
}

impl State {
    /// Returns the entry of a node.
    fn entry(&self, node: usize) -> String {
        let listed = &self.nodes[node];
        let address = listed.address.to_string();
        endpoint_entry(&listed.name, &address, node, listed.status)
    }

    /// Returns the complete list.
    fn snapshot(&self) -> ListSnapshot {
        let listed = (0..self.nodes.len())
            .filter(|node| self.nodes[*node].status != NodeStatus::Removed)
            .map(|node| self.entry(node));
        ListSnapshot {
            version: self.version,
            entries: listed.collect(),
        }
    }
}

impl Watch {
    /// Writes text as one chunk, unless the watch is silent.
    fn write_chunk(&mut self, text: &str) -> io::Result<()> {
        if self.is_silent {
            return Err(io::ErrorKind::BrokenPipe.into());
        }
        let chunk = format!("{:x}\r\n{text}\r\n", text.len());
        self.stream.write_all(chunk.as_bytes())
    }
}
