//! SFTP commands from clients, over a plain connection without the SSH transport.
//!
//! Paths are `/VOLUME/OBJECT`. OPEN fetches the whole object, and each READ returns a part of it.
//! An upload is buffered and CLOSE submits it as one write, so a client that disconnects earlier
//! causes no request. The first READDIR of a volume lists every shard, and is answered when all of
//! them have responded.
//!
//! [`SftpProtocol`] decodes packets and keeps the commands whose requests are in flight
//! (`pending`). The commands run on the client's `session`: `commands` starts them, `responses`
//! completes those that needed requests. [`SftpShared`] is what all clients have in common: the
//! rules by which `requests` are built, the cached `object_sizes` and the `buffer_budget`.

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
pub use shared::SftpShared;
