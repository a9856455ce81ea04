//! A storage gateway that shares storage nodes fairly among volumes.
//!
//! The binary runs [`event_loop::Gateway`]. `docs/architecture.md` describes the modules, which of
//! them owns which state, and the path of a request.
#![forbid(unsafe_code)]
#![warn(clippy::missing_docs_in_private_items)]

pub mod client_protocol;
pub mod config;
pub mod connection_token;
pub mod connections;
pub mod console;
pub mod context;
pub mod discovery;
pub mod dispatcher;
pub mod endpoint;
pub mod event_loop;
pub mod hex_id;
pub mod inventory;
pub mod logger;
pub mod memory_budget;
pub mod node_protocol;
pub mod number_text;
pub mod resp_bulk_string;
mod resp_wire_names;
pub mod sftp_packet;
pub mod storage_request;
pub mod timer_queue;
