//! Scenarios: a gateway process with clients, stand-in nodes and a stand-in discovery, run from a
//! text file.
//!
//! A line is one of these:
//!
//! - `node NAME SHARD [sftp]`: declares a stand-in node, which listens from now on.
//! - `start platform [DESCRIPTORS]`: starts the gateway on `ROUTER_CONFIG`, with at most so many
//!   file descriptors.
//! - `start operator [DESCRIPTORS]`: starts it on an operator's file and an inventory.
//! - `node_restarted NODE`: writes the inventory again, with a node that has just started.
//! - `send PEER WORDS`: the peer sends a message; a peer not seen yet is a client that
//!   connects.
//! - `open PEER`: a client connects and sends nothing.
//! - `expect PEER [WORDS]`: waits for the next message to the peer, which must be WORDS if they
//!   are given.
//! - `move_discovery`: discovery listens at a new address, which the configuration names from now
//!   on; the peer at the former address is `old`.
//! - `invalidate_config`: the configuration file can't be parsed any more.
//! - `close PEER`: closes all connections of the peer.
//! - `wait PEER`: waits until the gateway closes a connection to the peer, or, for `gateway`,
//!   until it has ended.
//!
//! What a peer sends depends on its protocol:
//!
//! - A client whose name begins with `s` sends an SFTP packet (see [`sftp_message`]); any other
//!   sends a RESP2 command, or after `raw` one line as it stands.
//! - A node sends a packet, or in RESP2 `value TEXT`, `twice TEXT` (the same response two times)
//!   or `raw LINE`, always as the response to its oldest request. `more TEXT` is a response to no
//!   request.
//! - `discovery` sends `list` or a change: `STATUS NODE [ADDRESS-OF]`.
//! - `console` sends a line to the gateway's console.
//! - `gateway` is sent a signal: `HUP` or `TERM`.
//!
//! Nothing sleeps: threads read the sockets and hand over complete messages. The transcript of all
//! messages is what a test compares.

mod connections;
mod deployment;
mod error;
mod launch;
mod masking;
mod message;
mod peer;
mod runner;
mod scenario;
mod sending;
mod sftp_message;

pub use runner::run_scenario;
