//! The lines that the operator types at the console.
//!
//! A thread reads standard input and passes it on through a pipe, so that the event loop never
//! blocks on it.

use crate::connection_token::ConnectionToken;
use crate::connections::nonblocking::{read_chunk, Chunk};
use crate::context::{ConnectionKind, Context};
use rustix::event::epoll::EventFlags;
use std::io;
use std::os::unix::net::UnixStream;

/// Longest line in bytes; a longer one is dropped.
const MAX_LINE_BYTES: usize = 4096;
/// Most bytes that one call of `read` returns.
const READ_CHUNK_BYTES: usize = 1024;

/// Lines typed at the console.
pub(super) struct ConsoleInput {
    /// Token of the standard input.
    token: ConnectionToken,
    /// The end of the pipe from the thread that reads standard input.
    stream: UnixStream,
    /// The bytes of a line whose end has not arrived yet.
    buffer: Vec<u8>,
}

/// The console's input has ended or can't be read.
pub(super) struct InputClosed;

impl ConsoleInput {
    /// Starts the thread that reads standard input, and registers its pipe with the poller.
    pub(super) fn open(context: &mut Context) -> io::Result<ConsoleInput> {
        let (stream, writer) = UnixStream::pair()?;
        stream.set_nonblocking(true)?;
        let token = context.register(&stream, ConnectionKind::Console, EventFlags::IN)?;
        std::thread::Builder::new()
            .name("console".into())
            .spawn(move || copy_standard_input(writer))?;
        Ok(ConsoleInput {
            token,
            stream,
            buffer: Vec::new(),
        })
    }

    /// The token by which the poller reports the input.
    pub(super) fn token(&self) -> ConnectionToken {
        self.token
    }

    /// Reads what has arrived and returns the complete lines. Lines that arrive together with the
    /// end of the input are dropped.
    pub(super) fn read_lines(&mut self) -> Result<Vec<String>, InputClosed> {
        self.read_available()?;
        Ok(self.take_lines())
    }

    /// Reads what has arrived into the buffer.
    fn read_available(&mut self) -> Result<(), InputClosed> {
        let mut bytes = [0; READ_CHUNK_BYTES];
        loop {
            match read_chunk(&mut self.stream, &mut bytes) {
                Ok(Chunk::Bytes(count)) => self.buffer.extend_from_slice(&bytes[..count]),
                Ok(Chunk::NoneAvailable) => return Ok(()),
                Ok(Chunk::Ended) | Err(_) => return Err(InputClosed),
            }
        }
    }

    /// Takes the complete lines out of the buffer. An incomplete line is dropped if it is too
    /// long.
    fn take_lines(&mut self) -> Vec<String> {
        let mut lines = Vec::new();
        while let Some(end) = self.buffer.iter().position(|byte| *byte == b'\n') {
            let line: Vec<u8> = self.buffer.drain(..=end).collect();
            lines.push(String::from_utf8_lossy(&line).into_owned());
        }
        if self.buffer.len() > MAX_LINE_BYTES {
            self.buffer.clear();
        }
        lines
    }
}

/// Copies standard input to the pipe until it ends; runs on a thread of its own.
fn copy_standard_input(mut writer: UnixStream) {
    // An error means that standard input failed or the event loop has ended: the thread ends too.
    let _ = io::copy(&mut io::stdin().lock(), &mut writer);
}
