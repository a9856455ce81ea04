//! SFTP protocol for file servers, over a plain connection without the SSH transport.
//!
//! The path of an object is `/VOLUME/OBJECT`, where VOLUME is the volume's id as 16 hex digits. A
//! request is a short sequence of commands, each sent after the reply to the previous one. A write
//! may take effect as soon as the first byte of its OPEN is sent, because OPEN creates or truncates
//! the file.
//!
//! [`SftpProtocol`] decodes the replies and keeps the state of the connection. `connection_state`
//! declares the states and starts the next command of a request, `reply` decides from the reply
//! what to do next, and `command_writer` encodes the commands.

mod command_writer;
mod connection_state;
mod protocol;
mod reply;

pub use protocol::SftpProtocol;
