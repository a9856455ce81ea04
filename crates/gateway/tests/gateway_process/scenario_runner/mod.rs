//! Runs scenarios. A scenario is a text file with statements for a gateway process, its clients,
//! fake storage nodes and a fake discovery service.
//!
//! Each line is one statement. Empty lines and lines that begin with `#` are ignored.
//!
//! - `node NAME SHARD [sftp]`: declares a fake node, which listens from now on. It uses SFTP if the
//!   word `sftp` is given, otherwise RESP2.
//! - `start platform [DESCRIPTORS]`: starts the gateway with the platform's configuration
//!   (`ROUTER_CONFIG`), the address of the discovery service (`ROUTER_DISCOVERY`) and at most
//!   DESCRIPTORS file descriptors.
//! - `start operator [DESCRIPTORS]`: starts it with an operator's configuration (`--config`), which
//!   names an inventory instead of a discovery service, and an SFTP listener.
//! - `mark_restarted NODE`: writes the inventory again with the current time as the start time of
//!   NODE.
//! - `connect PEER`: connects a client, which sends nothing.
//! - `send PEER WORDS`: sends a message as the peer. If there is no peer of this name, a client is
//!   connected first.
//! - `expect PEER [WORDS]`: waits for the next message to the peer and adds it to the transcript.
//!   If WORDS are given, the message must equal them; otherwise only the snapshot checks it.
//! - `move_discovery`: starts a new discovery service on another address and writes that address to
//!   the configuration file. The old service becomes the peer `old_discovery`.
//! - `write_invalid_config`: overwrites the configuration file with incomplete JSON.
//! - `close PEER`: closes all connections of the peer.
//! - `wait_for_close PEER`: waits until the gateway closes a connection of the peer.
//! - `wait_for_exit gateway`: waits until the gateway process has exited.
//!
//! What a peer sends depends on its kind:
//!
//! - A client whose name begins with `s` uses SFTP and sends a packet (see [`sftp_message`]). Any
//!   other client sends a RESP2 command, or the line LINE without any encoding for `raw LINE`.
//! - A node responds to its oldest request without a response. Its protocol does not depend on its
//!   name. An SFTP node sends a packet, a RESP2 node sends `value TEXT`, `value_twice TEXT` (the
//!   same response two times) or `raw LINE`.
//!   `unsolicited TEXT` is a response without a request.
//! - `discovery` sends `snapshot`, with all nodes in service, or the delta `STATUS NODE [PEER]`.
//!   STATUS is `in_service`, `terminating` (draining) or `terminated` (removed). If PEER is given,
//!   the delta has the address of PEER instead of that of NODE.
//! - `console` sends a line to the gateway's console.
//! - `gateway` receives the signal `HUP` or `TERM`.
//!
//! The runner never sleeps: threads read the sockets and send complete messages to channels. The
//! result is a transcript of all messages, which the test compares with a stored snapshot.

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
