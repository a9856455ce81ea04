//! SFTP commands towards file servers, over a plain connection without the SSH transport.
//!
//! The path of an object is `/VOLUME/OBJECT`, with the volume's id as 16 hex digits. One request
//! takes a short sequence of commands, each sent after the reply to the previous one. A write may
//! have had an effect as soon as the first byte of its OPEN is sent, because OPEN creates or
//! truncates the file.
//!
//! [`SftpProtocol`] finds the replies in the input and keeps the stage of the request. `stage`
//! sends the command with which each stage begins, `reply` decides what follows its reply, and
//! `command_writer` encodes the commands.

mod command_writer;
mod protocol;
mod reply;
mod stage;

pub use protocol::SftpProtocol;
