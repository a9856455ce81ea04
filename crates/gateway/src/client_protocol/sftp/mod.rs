//! SFTP protocol for clients, over a plain connection without the SSH transport.
//!
//! Paths have the form `/VOLUME/OBJECT`. OPEN for reading fetches the whole object, and each READ
//! returns part of it. Uploads are buffered, and CLOSE submits them as one write. If a client
//! disconnects before CLOSE, no request is submitted. The first READDIR on the handle of a volume
//! submits a listing to every shard; the reply is sent when all shards have responded.
//!
//! [`SftpProtocol`] decodes packets and keeps the commands whose requests are in flight
//! (`pending`). Commands operate on the client's `session`: `commands` starts them, and `responses`
//! completes those that submitted requests. [`SftpListenerState`] is the state that all clients
//! share: the builder of `requests`, the cached `object_sizes` and the `buffer_budget`.

mod buffer_budget;
mod commands;
mod directory;
mod error;
mod handle;
mod handle_number;
mod listing;
mod object_sizes;
mod path;
mod pending;
mod protocol;
mod replies;
mod requests;
mod responses;
mod session;
mod shared;

pub use protocol::SftpProtocol;
pub use shared::SftpListenerState;
